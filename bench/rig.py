#!/usr/bin/env python3
"""Plays many gateway processes before many hosts in real time, a few seeds, with and without a fault, and
prints the spread at the hosts (issue 24). Each play is one `fennelridge-lab live` with its own temporary folder;
the laboratory ends its gateways by their ids on any exit.

    bench/rig.py --lab build-test/fennelridge-lab --gateway build-test/cairnjunction \
        --gateways 300 --hosts 200 --seeds 1 2 3 --seconds 20 --json rig.json

Exits 0 if every play broke no rule and no gateway died, 1 otherwise, 2 on bad usage.
"""
import argparse
import json
import pathlib
import subprocess
import sys

PLAYS = {
    "calm": [],
    "discovery cut for a third": ["--discovery-fault", "3:0:4:8:cut"],
}


def play(o, seed, extra):
    command = [o.lab, "live", o.scenario, "--seed", str(seed), "--json", "--gateway", o.gateway,
               "--set", f"length_s={o.seconds}", "--set", f"gateways.count={o.gateways}",
               "--set", f"hosts.count={o.hosts}"] + extra
    done = subprocess.run(command, capture_output=True, text=True, timeout=o.seconds * 20 + 120)
    try:
        day = json.loads(done.stdout)["days"][0]
    except (ValueError, KeyError, IndexError):
        sys.stderr.write(done.stderr)
        return None, done.returncode
    return day, done.returncode


def main():
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("--lab", required=True)
    p.add_argument("--gateway", required=True)
    p.add_argument("--scenario", default=str(pathlib.Path(__file__).parent.parent / "scenarios/quiet.json"))
    p.add_argument("--gateways", type=int, default=300)
    p.add_argument("--hosts", type=int, default=200)
    p.add_argument("--seconds", type=int, default=20)
    p.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    p.add_argument("--json")
    o = p.parse_args()
    rows, good = [], True
    print(f"{'play':28} {'seed':>4} {'served':>7} {'max/mean':>8} {'cv':>5} {'idle':>4} {'herd':>5} {'void':>5}")
    for name, extra in PLAYS.items():
        for seed in o.seeds:
            day, code = play(o, seed, extra)
            if day is None:
                print(f"{name:28} {seed:>4} failed to play, exit {code}")
                good = False
                continue
            live, spread = day["live"], day["live"]["spread"]
            good &= code == 0 or live["void"]
            print(f"{name:28} {seed:>4} {day.get('service', 0):7.3f} {spread['max_over_mean']:8.2f} "
                  f"{spread['variation']:5.2f} {spread['idle_hosts']:>4} {spread['herd_peak']:5.2f} "
                  f"{str(live['void']):>5}")
            rows.append({"play": name, "seed": seed, "exit": code, "live": live})
    if o.json:
        pathlib.Path(o.json).write_text(json.dumps(rows, indent=1) + "\n")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
