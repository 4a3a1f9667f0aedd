#!/usr/bin/env python3
"""Runs the same scenarios of the external bench with several builds, paired by scenario and seed.

A single run varies too much with its seed: two builds are compared on the same scenarios and seeds, by the mean of
the differences. Each build runs in a copy of its checkout, so that nothing is written into the checkout; these runs
are for comparison only and do not count as a score.

    bench/pairs.py --bench LBREAL --site SITE.toml old=../before new=. -- calm+mass:3 split+mass:3 split+mass:4
    bench/pairs.py --bench LBREAL --site SITE.toml --json pairs.json --logs logs new=. -- herd+mass:7

A checkout has to be built. Exits 0 if every run ended without a broken rule or a fault, 1 otherwise, 2 on bad usage.
"""
import argparse
import concurrent.futures
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile

PRICES = ("cross_zone", "handshake", "waste", "late_fail")


def copy_of(checkout, into):
    """Copies the deploy file and the programs it starts; a separate repository keeps the bench's journal out of the checkout."""
    skipped = shutil.ignore_patterns(".git", "journal", "CMakeFiles", "build-*", "*.a")
    shutil.copytree(checkout, into, ignore=skipped)
    subprocess.run("git init -q . && git add deploy && git commit -qm copy", shell=True, cwd=into, check=True)
    return into


def play(options, name, folder, day):
    kind, seed = day.split(":")
    report = folder.parent / f"{name}-{kind}-{seed}.json"
    command = [options.bench, options.site, "--rough", kind, "--seed", seed, "--no-build", "--json", str(report)]
    command += ["--why", f"Pairs: {name} on {day}"]
    if options.logs:
        command += ["--logs", str(pathlib.Path(options.logs).resolve() / f"{name}-{kind}-{seed}")]
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    if not report.exists():
        return {"build": name, "day": day, "fault": (done.stdout + done.stderr).strip()[-300:]}
    result = json.loads(report.read_text())
    row, signs = result["row"], result["signature"]
    return {"build": name, "day": day, "g": result["g"], "fault": row["fault"], "broken": sum(row["rules"].values()),
            "score": (result["g"] - row["G_floor"]) / (row["G_top"] - row["G_floor"]),
            "served": row["served"], "served_late": row["served_late"], "refused": signs["refused_share"],
            "same_zone": signs["same_zone_share"], **{p: result["prices"][p] for p in PRICES}}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True, help="the outside bench's program")
    parser.add_argument("--site", required=True, help="its site file")
    parser.add_argument("--jobs", type=int, default=4, help="plays side by side (default 4)")
    parser.add_argument("--json", help="write all figures here")
    parser.add_argument("--logs", help="keep the gateways' logs in this folder")
    parser.add_argument("builds", nargs="+", metavar="NAME=CHECKOUT")
    own = sys.argv[1:]
    cut = own.index("--") if "--" in own else len(own)
    options, days = parser.parse_args(own[:cut]), own[cut + 1 :]
    for path in ("bench", "site"):
        setattr(options, path, str(pathlib.Path(getattr(options, path)).resolve()))
    if not days or any(d.count(":") != 1 for d in days) or any("=" not in b for b in options.builds):
        parser.error("builds are NAME=CHECKOUT, and after -- come days as KIND:SEED")
    names = [b.split("=", 1)[0] for b in options.builds]
    with tempfile.TemporaryDirectory() as room, concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        folders = [copy_of(b.split("=", 1)[1], pathlib.Path(room) / n) for n, b in zip(names, options.builds)]
        plays = [pool.submit(play, options, n, f, d) for d in days for n, f in zip(names, folders)]
        for at, _ in enumerate(concurrent.futures.as_completed(plays), 1):
            print(f"\r{at} of {len(plays)} played", end="", file=sys.stderr, flush=True)
        print(file=sys.stderr)
        results = [p.result() for p in plays]
    for r in results:
        if "g" not in r:
            print(f"{r['day']:24} {r['build']:10} not played: {r['fault']}")
            continue
        print(f"{r['day']:24} {r['build']:10} G {r['g']:.3f} score {r['score']:.2f} served {r['served']:.2f} of "
              f"{r['served_late']:.2f} refused {r['refused']:.2f} own zone {r['same_zone']:.2f} "
              + " ".join(f"{p} {r[p]:.3f}" for p in PRICES)
              + (f" BROKEN RULES {r['broken']}" if r["broken"] else "") + (f" FAULT {r['fault']}" if r["fault"] else ""))
    g = {(r["build"], r["day"]): r["g"] for r in results if "g" in r}
    for name in names[1:]:
        both = [g[name, d] - g[names[0], d] for d in days if (name, d) in g and (names[0], d) in g]
        if both:
            print(f"{name} against {names[0]}: {sum(both) / len(both):+.3f} in the mean of {len(both)}, "
                  f"from {min(both):+.3f} to {max(both):+.3f}")
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(results, indent=1))
    sys.exit(any(r.get("fault") or r.get("broken") for r in results))


if __name__ == "__main__":
    main()
