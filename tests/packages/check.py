"""Checks that `build` of deploy/system.toml uses only files that its `packages` install on a clean machine.

The build runs as an unprivileged user in a copy of the checkout without tests and tools, and
strace records each file that it opens, executes or finds. Prints "ok NAME" or "FAILED NAME" for
each check. With --inventory, prints each file that the build uses with its package and kind instead.
"""

import functools
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from dataclasses import dataclass, field

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The headers, libraries and tools that this package depends on need not be listed.
COMPILER = "g++"
# The parts of the checkout that the build needs.
SOURCES = ["CMakeLists.txt", "deploy", "platform", "src"]
UNPRIVILEGED = {"user": "nobody", "group": "nogroup", "extra_groups": []}
DEFAULT_PATH = "/usr/local/sbin:/usr/local/bin:/usr/sbin:/usr/bin:/sbin:/bin"
# Paths generated on the machine, which no package owns. The targets of their links and library paths
# are checked separately.
GENERATED = re.compile(r"/(proc|sys|dev|tmp)(/|$)|/etc/(alternatives/|ld\.so\.(cache$|conf\.d/))")
# System calls that take a file name, and `socket`, which a download would need.
TRACED_CALLS = "%file,socket"
CALL = re.compile(
    r'\d+\s+(?P<name>\w+)\((?:(?:AT_FDCWD|\d+)<(?P<folder>[^>]*)>, )?"(?P<path>(?:[^"\\]|\\.)*)"'
)
INTERNET_SOCKET = re.compile(r"\d+\s+socket\(AF_INET")
INCLUDE = re.compile(r"^\s*#\s*include\s*<([^>]+)>", re.MULTILINE)


@dataclass
class Use:
    """The files and downloads that a run of the build used, outside its own tree."""

    executed: set[str] = field(default_factory=set)
    # Files that were opened or found by another system call.
    touched: set[str] = field(default_factory=set)
    downloads: list[str] = field(default_factory=list)
    # Files named by our sources, build files or build command, with their kind.
    direct: dict[str, str] = field(default_factory=dict)

    def all(self) -> set[str]:
        return self.executed | self.touched | set(self.direct)


def run(command: list[str]) -> str:
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout


def copy_sources(to: pathlib.Path) -> None:
    for name in run(["git", "-C", str(ROOT), "ls-files", "-z", *SOURCES]).split("\0"):
        if name and (ROOT / name).exists():
            (to / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, to / name)


def traced_build(build: str, tree: pathlib.Path, trace: pathlib.Path) -> bool:
    """Runs the build in `tree` and writes its successful system calls to `trace`; False if it fails."""
    strace = ["strace", "-f", "-y", "-z", "-qq", "--seccomp-bpf", "-s", "4096", "-e", f"trace={TRACED_CALLS}",
              "-e", "signal=none", "-o", str(trace)]
    rights = UNPRIVILEGED if os.geteuid() == 0 else {}
    if rights:
        for path in [tree.parent, tree, *tree.rglob("*")]:
            shutil.chown(path, rights["user"])
    done = subprocess.run([*strace, "sh", "-c", build], cwd=tree, text=True, stdin=subprocess.DEVNULL,
                          stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                          env={"PATH": DEFAULT_PATH, "HOME": str(tree), "LANG": "C"}, **rights)
    if done.returncode != 0:
        print("\n".join(done.stdout.splitlines()[-30:]))
    return done.returncode == 0


def is_outside_file(path: str, tree: pathlib.Path) -> bool:
    return not GENERATED.match(path) and not path.startswith(str(tree)) and os.path.isfile(path)


def read_trace(trace: pathlib.Path, tree: pathlib.Path, use: Use) -> None:
    with trace.open(errors="replace") as lines:
        for line in lines:
            if INTERNET_SOCKET.match(line):
                use.downloads.append(line.strip())
            if call := CALL.match(line):
                path = os.path.normpath(os.path.join(call["folder"] or str(tree), call["path"]))
                (use.executed if call["name"].startswith("execve") else use.touched).add(path)
    use.executed = {path for path in use.executed if is_outside_file(path, tree)}
    use.touched = {path for path in use.touched if is_outside_file(path, tree)}


def read_cache(target: pathlib.Path) -> dict[str, str]:
    entry = re.compile(r"^(\w[\w+.-]*):\w+=(.*)$", re.MULTILINE)
    return dict(entry.findall((target / "CMakeCache.txt").read_text()))


def included_headers(tree: pathlib.Path) -> set[str]:
    """Returns the paths to which the compiler resolved the system headers that our sources include."""
    wanted = set()
    for source in [*tree.glob("src/**/*.cc"), *tree.glob("src/**/*.h"), *tree.glob("platform/*")]:
        wanted.update(INCLUDE.findall(source.read_text()))
    read = set()
    for depfile in tree.glob("target/**/*.d"):
        read.update(word for word in depfile.read_text().split() if word.startswith("/usr/"))
    return {os.path.normpath(path) for path in read if any(path.endswith("/" + name) for name in wanted)}


def linked_libraries(tree: pathlib.Path) -> set[str]:
    """Returns the libraries of the link lines; a versioned file counts as its unversioned development name."""
    found = set()
    for link in tree.glob("target/**/link.txt"):
        for word in link.read_text().split():
            if word.startswith("/usr/") and ".so" in word:
                found.add(word.split(".so")[0] + ".so")
    return found


def find_direct(build: str, tree: pathlib.Path, use: Use) -> None:
    cache = read_cache(tree / "target")
    tools = {cache["CMAKE_CXX_COMPILER"], cache["CMAKE_MAKE_PROGRAM"]}
    for step in build.split("&&"):
        tools.add(shutil.which(step.split()[0], path=DEFAULT_PATH) or step.split()[0])
    use.direct |= {path: "tool" for path in tools}
    use.direct |= {path: "header" for path in included_headers(tree)}
    use.direct |= {path: "library" for path in linked_libraries(tree)}


def link_chain(path: str) -> list[str]:
    """Returns the path and each target of its chain of symbolic links, with folders resolved."""
    chain = []
    while path not in chain:
        chain.append(path)
        folder, name = os.path.split(path)
        path = os.path.join(os.path.realpath(folder), name)
        if path not in chain:
            chain.append(path)
        if os.path.islink(path):
            path = os.path.normpath(os.path.join(os.path.dirname(path), os.readlink(path)))
    return chain


def owners(paths: set[str]) -> dict[str, set[str]]:
    """Returns the packages that own each path or a target of its links; an empty set if no package does."""
    # A package may list a file under /lib that the system has under /usr/lib, or the reverse (merged /usr).
    def spellings(path: str) -> list[str]:
        return [path, path.removeprefix("/usr") if path.startswith("/usr") else "/usr" + path]

    chains = {path: [name for link in link_chain(path) for name in spellings(link)] for path in paths}
    names = sorted({name for chain in chains.values() for name in chain})
    holders: dict[str, set[str]] = {}
    for start in range(0, len(names), 2000):
        answer = subprocess.run(["dpkg", "-S", *names[start:start + 2000]], capture_output=True, text=True)
        for line in answer.stdout.splitlines():
            packages, _, name = line.partition(": ")
            if not line.startswith("diversion by"):
                holders.setdefault(name, set()).update(p.split(":")[0] for p in packages.split(", "))
    return {path: set().union(*(holders.get(name, set()) for name in chain)) for path, chain in chains.items()}


@functools.cache
def essential_packages() -> tuple[str, ...]:
    listed = run(["dpkg-query", "-W", "-f", "${Essential} ${Package}\n"]).splitlines()
    return tuple(line.split()[1] for line in listed if line.startswith("yes"))


@functools.cache
def clean_machine(*packages: str) -> frozenset[str]:
    """Returns all packages of a machine with the essential and the given ones, without recommended ones."""
    plan = run(["apt-get", "-s", "-o", "Dir::State::status=/dev/null", "-o", "APT::Install-Recommends=0",
                "-o", "APT::Install-Suggests=0", "install", *essential_packages(), *packages])
    return frozenset(line.split()[1].split(":")[0] for line in plan.splitlines() if line.startswith("Inst "))


class Rules:
    """Checks a list of packages against the files that the build used. Each check returns its errors."""

    def __init__(self, use: Use):
        self.use = use
        self.owners = owners(use.all())

    def by_package(self, paths: set[str]) -> list[str]:
        """Returns one error for each package that owns some of the paths."""
        groups: dict[str, list[str]] = {}
        for path in sorted(paths):
            groups.setdefault(", ".join(sorted(self.owners[path])) or "no package", []).append(path)
        return [f"{owner}: {len(files)} files, as {files[0]}" for owner, files in sorted(groups.items())]

    def listed(self, packages: list[str]) -> list[str]:
        """Checks that each used file belongs to a listed package or to a dependency of one."""
        there = clean_machine(*packages)
        return self.by_package({path for path in self.use.executed | self.use.touched
                                if not self.owners[path] or not self.owners[path] <= there})

    def named(self, packages: list[str]) -> list[str]:
        """Checks that each file named by our sources or build files is of a listed package or of the compiler."""
        there = set(packages)
        if COMPILER in packages:
            there |= clean_machine(COMPILER)
        return self.by_package({path for path in self.use.direct if not self.owners[path] & there})

    def needed(self, packages: list[str]) -> list[str]:
        """Checks that each listed package owns a file that our sources or build files name."""
        used = set().union(*(self.owners[path] for path in self.use.direct))
        return [name for name in packages if name not in used]


def report(name: str, complaints: list[str]) -> bool:
    print(f"{'FAILED' if complaints else 'ok'} packages-{name}")
    for complaint in complaints:
        print(f"  {complaint}")
    return not complaints


def undetected_removals(rules: Rules, packages: list[str]) -> list[str]:
    """Returns the packages that could be removed from the list without any check failing."""
    shorter = {name: [other for other in packages if other != name] for name in packages}
    return [name for name, rest in shorter.items() if not rules.named(rest) and not rules.listed(rest)]


def print_inventory(rules: Rules) -> None:
    use = rules.use
    for path in sorted(use.all()):
        kind = use.direct.get(path) or ("tool" if path in use.executed else "file")
        role = "direct" if path in use.direct else "indirect"
        print("\t".join([",".join(sorted(rules.owners[path])) or "-", role, kind, path]))


def main() -> int:
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    packages = deploy["packages"]
    with tempfile.TemporaryDirectory() as folder:
        tree = pathlib.Path(folder) / "checkout"
        tree.mkdir()
        copy_sources(tree)
        trace = pathlib.Path(folder) / "trace"
        if not traced_build(deploy["build"], tree, trace):
            report("build", ["the last lines of its output are printed above"])
            return 1
        use = Use()
        read_trace(trace, tree, use)
        find_direct(deploy["build"], tree, use)
    rules = Rules(use)
    if "--inventory" in sys.argv:
        print_inventory(rules)
        return 0
    results = [report("build", []),
               report("offline", use.downloads),
               report("listed", rules.listed(packages)),
               report("named", rules.named(packages)),
               report("needed", rules.needed(packages)),
               report("removals", undetected_removals(rules, packages))]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
