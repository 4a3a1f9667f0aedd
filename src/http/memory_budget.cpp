#include "http/memory_budget.hpp"

namespace gateway::http {

const char* name_of(MemoryUse use) {
  switch (use) {
    case MemoryUse::connections:
      return "connections";
    case MemoryUse::input:
      return "input";
    case MemoryUse::requests:
      return "requests";
    case MemoryUse::responses:
      return "responses";
    case MemoryUse::streams:
      return "streams";
    case MemoryUse::output:
      return "output";
  }
  return "unknown";
}

}  // namespace gateway::http
