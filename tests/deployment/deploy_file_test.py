"""Tests of the deploy file's reader, of its templates and of the check of production."""
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from deployment.deploy_file import find_production_errors, read_deploy_file
from deployment.template import TemplateError, find_names, render

ROOT = Path(__file__).resolve().parents[2]
CHECK = ROOT / "tools" / "checks" / "check_deploy.py"

GOOD = """
build = "make"
packages = ["make"]
{production}

[roles.relay]
for = ["scatter", "pool"]
run = "target/relay relay --zone {{{{zone}}}}"
on = "front"
share = 1.0
serves = ["front"]
template = "deploy/startup.json"

[roles.store]
for = ["scatter", "pool"]
run = "target/relay store"
on = "middle"
count = 1
serves = ["steering"]
template = "deploy/startup.json"
"""


def read(text, template=b"{{.|json}}"):
    return read_deploy_file(text, lambda path: template if path == "deploy/startup.json" else None)


def good(production=""):
    return GOOD.format(production=production)


class TemplateTest(unittest.TestCase):
    """Gaps and sections as the platform's page describes them."""

    FIELDS = {"a": "x", "n": 3, "yes": True, "no": False, "list": ["p", "q"], "empty": [],
              "table": {"k": "v", "l": "w"}, "maps": [{"a": "inner"}, {"b": 1}]}

    def test_values(self):
        for template, text in (
                ("{{a}}", "x"), ("{{table.k}}", "v"), ("{{list.1}}", "q"), ("{{list}}", "p,q"),
                ("{{absent}}", ""), ("{{yes}} {{no}} {{n}}", "true false 3"),
                ("{{list|json}}", '["p","q"]'), ("{{absent|json}}", "null"),
                ("{{table}}", '{"k":"v","l":"w"}'), ("{ {{a}} }", "{ x }")):
            self.assertEqual(render(template, self.FIELDS), text, template)

    def test_sections(self):
        for template, text in (
                ("{{#list}}{{@}}={{.}}{{,}}{{/list}}", "0=p,1=q"),
                ("{{#table}}{{@}}:{{.}};{{/table}}", "k:v;l:w;"),
                ("{{#maps}}{{a}}{{,}}{{/maps}}", "inner,x"),
                ("{{#yes}}y{{/yes}}{{#no}}n{{/no}}{{^no}}m{{/no}}{{^empty}}e{{/empty}}", "yme"),
                ("{{#a}}{{n}}{{/a}}", "3")):
            self.assertEqual(render(template, self.FIELDS), text, template)

    def test_what_no_platform_could_fill_is_refused(self):
        for template in ("{{a", "{{#a}}", "{{/a}}", "{{#a}}{{/b}}", "{{a b}}", "{{}}"):
            with self.assertRaises(TemplateError, msg=template):
                render(template, self.FIELDS)

    def test_names(self):
        self.assertEqual(find_names("{{a.b}} {{#c}}{{d}}{{/c}} {{.|json}} {{@}}"), {"a", "c"})


class DeployFileTest(unittest.TestCase):
    """Each thing that may be wrong is named."""

    def test_a_good_one(self):
        self.assertEqual(read(good()).errors, ())

    def test_what_is_wrong_is_named(self):
        front = '[roles.second]\nfor = ["pool"]\nrun = "target/x"\non = "front"\ncount = 1\n'
        for old, new, error in (
                ('build = "make"', "", "build is missing"),
                ('packages = ["make"]', "packages = 1", "packages is missing"),
                ("[roles.relay]", "builds = 1\n[roles.relay]", "unknown key builds"),
                ("share = 1.0", "share = 1.0\nmetric = 1", "unknown key metric"),
                ("share = 1.0", "share = 1.5", "share is not above 0"),
                ("share = 1.0", "share = 0", "share is not above 0"),
                ("count = 1", "count = 0", "count is not a whole number"),
                ("count = 1", "count = 1\nshare = 0.5", "either share or count"),
                ("target/relay relay", "bin/relay relay", "not lie under target/"),
                ("target/relay relay", "target/{{zone}} relay", "the first word holds a gap"),
                ("{{zone}}", "{{zones_of}}", "no field of a machine is called zones_of"),
                ("{{zone}}", "{{#zone}}", "is never ended"),
                ("deploy/startup.json", "deploy/other.json", "there is no deploy/other.json"),
                ('on = "front"', 'on = "edge"', "on names no class"),
                ('serves = ["front"]', 'serves = ["back"]', "what no role may serve"),
                ('serves = ["front"]', "serves = []", "pool: no role serves front"),
                ('on = "middle"', 'on = "middle"\nmetrics = "figures"', "not PORT/PATH"),
                ('on = "middle"', 'on = "middle"\nmetrics = "70000/x"', "not PORT/PATH"),
                ('on = "middle"', 'on = "middle"\nenv = { LD_X = "1" }', "LD_X is no name"),
                ('on = "middle"', 'on = "middle"\nenv = { X = "{{y}}" }', "is called y"),
                ('for = ["scatter", "pool"]', 'for = ["grid"]', "for does not name"),
                ('serves = ["steering"]', 'serves = ["steering"]\n' + front + 'serves = ["front"]',
                 "pool, front: front is served by two roles"),
                ('serves = ["steering"]', 'serves = ["steering"]\n' + front
                 + front.replace("second", "third"), "pool, front: 3 roles, 2 at most")):
            text = good()
            self.assertIn(old, text)
            errors = read(text.replace(old, new, 1)).errors
            self.assertTrue(any(error in found for found in errors), (new, error, errors))

    def test_a_template_that_is_too_large_is_named(self):
        errors = read(good(), b" " * 65536).errors
        self.assertIn("roles.relay: template: deploy/startup.json is 65536 bytes", errors)

    def test_production_is_a_whole_hash(self):
        for production, count in (("", 1), ('production = "main"', 1),
                                  (f'production = "{"a" * 12}"', 1),
                                  (f'production = "{"a" * 40}"', 0)):
            errors = find_production_errors(read(good(production)))
            self.assertEqual(len(errors), count, production)


class ProductionTest(unittest.TestCase):
    """The check on histories of its own."""

    def setUp(self):
        self._folder = tempfile.TemporaryDirectory(prefix="deploy_check.")
        self.addCleanup(self._folder.cleanup)
        self.root = Path(self._folder.name)
        self.git("init", "-q", "-b", "main")
        (self.root / "deploy").mkdir()
        self.write("deploy/startup.json", "{{.|json}}")
        self.landings = []

    def git(self, *words):
        identity = ["-c", "user.name=t", "-c", "user.email=t@localhost", "-c",
                    "commit.gpgsign=false"]
        return subprocess.run(["git", *identity, *words], cwd=self.root, check=True,
                              capture_output=True, text=True).stdout.strip()

    def write(self, path, text):
        (self.root / path).write_text(text)

    def commit(self, production="", build="make"):
        """A state with this version in production; returns its hash."""
        line = f'production = "{production}"' if production else ""
        self.write("deploy/system.toml", good(line).replace('"make"', f'"{build}"', 1))
        self.write("deploy/landings.txt", "".join(f"{one} day\n" for one in self.landings))
        self.git("add", "-A")
        self.git("commit", "-q", "--allow-empty", "-m", "state")
        return self.git("rev-parse", "HEAD")

    def errors(self):
        found = subprocess.run([sys.executable, "-B", str(CHECK), "--root", str(self.root)],
                               capture_output=True, text=True)
        lines = found.stdout.splitlines()[:-1]
        self.assertEqual(found.returncode, 1 if lines else 0, found.stderr)
        return lines

    def expect(self, part):
        self.assertTrue(any(part in line for line in self.errors()), (part, self.errors()))

    def test_a_deploy_file_without_a_version_in_production_is_refused(self):
        self.commit()
        self.expect("production is missing")

    def test_the_last_landing_is_accepted(self):
        self.landings = [self.commit()]
        self.commit(self.landings[0])
        self.assertEqual(self.errors(), [])

    def test_a_commit_of_the_work_in_hand_is_refused(self):
        self.landings = [self.commit()]
        self.commit(self.commit())
        self.expect("never landed")

    def test_an_older_landing_is_refused(self):
        first = self.commit()
        self.landings = [first, self.commit(build="cmake")]
        self.commit(first)
        self.expect("1 landings behind")

    def test_a_commit_of_another_branch_is_refused(self):
        base = self.commit()
        self.git("checkout", "-q", "-b", "side")
        side = self.commit(build="cmake")
        self.git("checkout", "-q", "main")
        self.landings = [base, side]
        self.commit(side)
        self.expect("no ancestor of HEAD")

    def test_a_commit_that_is_not_here_is_refused(self):
        self.landings = [self.commit()]
        self.commit("1" * 40)
        self.expect("is not in this repository")

    def test_head_itself_is_refused(self):
        head = self.commit()
        self.landings = [head]
        self.write("deploy/landings.txt", f"{head} day\n")
        self.write("deploy/system.toml", good(f'production = "{head}"'))
        self.expect("is HEAD itself")

    def test_a_version_without_a_build_of_its_own_is_refused(self):
        self.landings = [self.commit(build="")]
        self.commit(self.landings[0])
        self.expect("build is missing")

    def test_work_on_a_branch_that_moved_on_is_refused(self):
        self.landings = [self.commit()]
        followed = self.commit(self.landings[0])
        self.git("branch", "followed")
        self.git("branch", "-q", "--set-upstream-to=followed")
        self.commit(self.landings[0])
        self.expect(f"behind {followed}, which has landed")


if __name__ == "__main__":
    unittest.main()
