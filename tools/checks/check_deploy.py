#!/usr/bin/env python3
"""Checks deploy/system.toml: its keys, its roles, its templates, and the version in production.

    tools/checks/check_deploy.py [--root FOLDER]

    keys        build, packages, production and roles; of a role those that the platform knows
    roles       a program under target/, a class of machines, share or count, two at most on a
                machine, nothing served twice, figures (metrics) as PORT/PATH
    templates   there, under 64 KiB, each gap the name of a field that a machine is told
    production  the whole hash of the commit that users run: an ancestor of HEAD, not HEAD itself,
                the last line of deploy/landings.txt, with build, roles and templates of its own

Exits with 1 and one line for each error. What the program makes of its roles is checked by
tests/deployment/roles_test.py.
"""
import argparse
import pathlib
import subprocess
import sys
import tomllib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from deployment.deploy_file import find_production_errors, read_deploy_file  # noqa: E402

DEPLOY_FILE = "deploy/system.toml"
LANDINGS = "deploy/landings.txt"


class Repository:
    """The history of the project, as far as it is here."""

    def __init__(self, root):
        self._root = root

    def _run(self, *words):
        return subprocess.run(["git", "-C", str(self._root), *words], capture_output=True)

    def resolve(self, name):
        """The whole hash of a commit; None: it is not here."""
        found = self._run("rev-parse", "--verify", "--quiet", f"{name}^{{commit}}")
        return found.stdout.decode().strip() if found.returncode == 0 else None

    def is_ancestor(self, commit, of):
        """Whether a commit is an ancestor of another one, or that one itself."""
        return self._run("merge-base", "--is-ancestor", commit, of).returncode == 0

    def read(self, commit, path):
        """The bytes of a file as of a commit; None: there was none."""
        found = self._run("show", f"{commit}:{path}")
        return found.stdout if found.returncode == 0 else None


def read_landings(text):
    """The commits of the list, oldest first."""
    lines = [line.split() for line in text.splitlines()]
    return [words[0] for words in lines if words and not words[0].startswith("#")]


def find_landing_errors(landings, repository):
    """What is wrong with the order of the list."""
    missing = [commit for commit in landings if repository.resolve(commit) != commit]
    if missing:
        return [f"{LANDINGS}: {commit} is no commit of this repository" for commit in missing]
    return [f"{LANDINGS}: {later} does not follow {earlier}"
            for earlier, later in zip(landings, landings[1:])
            if not repository.is_ancestor(earlier, later)]


def find_commit_errors(production, landings, repository):
    """What is wrong with the commit that is named as the version in production."""
    head = repository.resolve("HEAD")
    if repository.resolve(production) != production:
        return [f"production {production} is not in this repository (is it a whole clone?)"]
    if production == head:
        return ["production is HEAD itself: name the landing before it"]
    if not repository.is_ancestor(production, head):
        return [f"production {production} is no ancestor of HEAD"]
    if production not in landings:
        return [f"production {production} never landed: {LANDINGS} has no such line"]
    behind = len(landings) - 1 - landings.index(production)
    if behind:
        return [f"production is {behind} landings behind the last one, {landings[-1]}"]
    return find_upstream_errors(production, head, repository)


def find_upstream_errors(production, head, repository):
    """Work on top of a branch that is followed: what stands there has landed."""
    upstream = repository.resolve("@{upstream}")
    is_ahead = upstream and upstream != head and repository.is_ancestor(upstream, head)
    if not is_ahead or upstream == production or repository.is_ancestor(upstream, production):
        return []
    return [f"production is behind {upstream}, which has landed"]


def find_errors_at(production, repository):
    """Whether that version has a build, roles and templates of its own."""
    text = repository.read(production, DEPLOY_FILE)
    if text is None:
        return [f"production {production} has no {DEPLOY_FILE}"]
    deploy = read_deploy_file(text.decode(), lambda path: repository.read(production, path))
    return [f"production {production}: {error}" for error in deploy.errors]


def find_errors(root):
    """All errors of the checkout."""

    def read_file(path):
        found = root / path
        return found.read_bytes() if found.is_file() else None

    try:
        deploy = read_deploy_file((root / DEPLOY_FILE).read_text(encoding="utf-8"), read_file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        return [f"{DEPLOY_FILE}: {error}"]
    errors = [f"{DEPLOY_FILE}: {error}" for error in deploy.errors]
    form_errors = find_production_errors(deploy)
    if form_errors:
        return errors + [f"{DEPLOY_FILE}: {error}" for error in form_errors]
    repository = Repository(root)
    landings = read_landings((root / LANDINGS).read_text(encoding="utf-8"))
    errors += find_landing_errors(landings, repository)
    errors += find_commit_errors(deploy.production, landings, repository)
    return errors or find_errors_at(deploy.production, repository)


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--root", type=pathlib.Path,
                        default=pathlib.Path(__file__).resolve().parents[2])
    errors = find_errors(parser.parse_args().root.resolve())
    for error in errors:
        print(error)
    print(f"deploy file: {len(errors)} errors")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
