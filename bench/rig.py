#!/usr/bin/env python3
"""Runs rig files with several builds of the gateway, seed by seed, and prints the request spread over the hosts.

Each run is one `gateway-lab rig` in a temporary folder of its own; the laboratory ends its gateways by their ids
on any exit. Runs follow one another, because a run starts up to hundreds of processes.

    bench/rig.py --lab build-test/gateway-lab --seeds 1 2 3 --json rig.json \
        before=../before/build/gateway now=build/gateway -- scenarios/rig/calm.json scenarios/rig/heavy.json

Exits 0 if every run violated no rule, lost no gateway and was not void, 1 otherwise, 2 on bad usage.
"""
import argparse
import json
import pathlib
import statistics
import subprocess
import sys

FIGURES = ("max_over_mean", "variation", "idle_hosts", "herd_peak", "handshakes_per_request")


def run_rig(options, program, plan, seed):
    command = [options.lab, "rig", plan, "--seed", str(seed), "--gateway", program, "--json"]
    for assignment in options.set:
        command += ["--set", assignment]
    done = subprocess.run(command, capture_output=True, text=True, timeout=options.timeout)
    try:
        day = json.loads(done.stdout)["days"][0]
    except (ValueError, KeyError, IndexError):
        return {"fault": (done.stderr or done.stdout).strip()[-300:]}
    live = day["live"]
    return {"in_time": day["in_time"], "breaches": day["breaches"], "void": live["void"], "why": live["void_reason"],
            "died": live["gateways_died"], "cpu_us": live["gateway_cpu_us_a_request"],
            "memory_mb": live["gateway_memory_mb"], "connections": live["host_connections"],
            "herd_in_calm": live["herd_peak_in_calm"], **{f: live["spread"][f] for f in FIGURES},
            "back": {b["name"]: b["spread"] for b in live["back"]}}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--lab", required=True, help="gateway-lab")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--set", action="append", default=[], help="set a field of the scenario, as rig --set")
    parser.add_argument("--timeout", type=float, default=300, help="seconds for one run")
    parser.add_argument("--json", help="write all figures here")
    parser.add_argument("builds", nargs="+", metavar="NAME=PROGRAM")
    own = sys.argv[1:]
    cut = own.index("--") if "--" in own else len(own)
    options, plans = parser.parse_args(own[:cut]), own[cut + 1 :]
    if not plans or any("=" not in b for b in options.builds):
        parser.error("builds are NAME=PROGRAM, and after -- come rig files")
    rows, good = [], True
    print(f"{'plan':16} {'build':8} seed in time max/mean    cv idle  herd (calm) back  handshakes  conns cpu us   MB")
    for plan in plans:
        for seed in options.seeds:
            for build in options.builds:
                name, program = build.split("=", 1)
                r = {"plan": pathlib.Path(plan).stem, "build": name, "seed": seed, **run_rig(options, program, plan, seed)}
                rows.append(r)
                if "fault" in r:
                    print(f"{r['plan']:16} {name:8} {seed:4} not run: {r['fault']}")
                    good = False
                    continue
                good &= not r["breaches"] and not r["died"] and not r["void"]
                back = max([b["herd_peak"] for b in r["back"].values()], default=0)
                print(f"{r['plan']:16} {name:8} {seed:4} {r['in_time']:7.3f} {r['max_over_mean']:8.2f} "
                      f"{r['variation']:5.3f} {r['idle_hosts']:4} {r['herd_peak']:5.2f} ({r['herd_in_calm']:.2f}) "
                      f"{back:4.2f} {r['handshakes_per_request']:11.3f} {r['connections']:6.1f} {r['cpu_us']:6.0f} "
                      f"{r['memory_mb']:4.1f}" + (f" VOID {r['why']}" if r["void"] else "")
                      + (f" BROKEN {r['breaches']}" if r["breaches"] else "")
                      + (f" DIED {r['died']}" if r["died"] else ""), flush=True)
        for build in options.builds:
            mine = [r for r in rows if r["build"] == build.split("=", 1)[0] and r["plan"] == pathlib.Path(plan).stem
                    and "fault" not in r]
            if mine:
                print(f"{pathlib.Path(plan).stem:16} {build.split('=', 1)[0]:8} mean "
                      + ", ".join(f"{f} {statistics.mean(r[f] for r in mine):.3f}" for f in ("in_time", *FIGURES)))
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(rows, indent=1) + "\n")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
