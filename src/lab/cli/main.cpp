// gateway-lab: the command line of the laboratory.
#include <exception>
#include <iostream>

#include "lab/cli/commands.hpp"

// NOLINTNEXTLINE(bugprone-exception-escape): an exception that nothing handles ends the program
int main(int argc, char** argv) {
  using namespace gateway::lab;
  CLI::App app(
      "Runs a fleet of gateways, hosts and clients, checks invariants, and measures the effect of "
      "a "
      "change.",
      "gateway-lab");
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 success; 1 failed check (a violation, a missed bound, a void run) or error at "
      "run time; 2 bad usage or input.\n"
      "Examples:\n  gateway-lab demo\n  gateway-lab run scenarios/rough.json --seeds 20\n  "
      "gateway-lab COMMAND --help");
  int result = kExitSuccess;
  add_run(app, result);
  add_compare(app, result);
  add_sweep(app, result);
  add_report(app, result);
  add_live(app, result);
  add_rig(app, result);
  add_emulate(app, result);
  add_demo(app, result);
  add_load(app, result);
  add_trace(app, result);
  add_overhead(app, result);
  add_strays(app, result);
  add_crowd(app, result);
  add_restarts(app, result);
  add_check(app, result);
  add_fields(app, result);
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& help) {
    return app.exit(help);
  } catch (const CLI::ParseError& error) {
    app.exit(error);
    return kExitBadInput;
  } catch (const BadInput& error) {
    std::cerr << error.what() << '\n';
    return kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << "gateway-lab: " << error.what() << '\n';
    return kExitCheckFailed;
  }
  return result;
}
