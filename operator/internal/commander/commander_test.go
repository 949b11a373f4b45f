package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/burner"
	"godwitramp.example/operator/internal/commander"
	"godwitramp.example/shell/archiver"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/describer"
	"godwitramp.example/shell/faker"
)

const organisation = "[/t/organisations/o]\nrate = 5\nburst = 5\n"

// fixture runs commands against an in-memory platform. It is also their Waiter.
type fixture struct {
	t            *testing.T
	platform     connector.Platform
	directory    string
	report       commander.Report
	statusClient commander.StatusClient
	biller       commander.Biller
}

func newFixture(t *testing.T, platform connector.Platform, declarations string) *fixture {
	fixture := &fixture{t: t, platform: platform, directory: t.TempDir(), report: commander.Report{InForce: true, Confirmed: 2}}
	fixture.declare(declarations)
	return fixture
}

// declare writes the declarations of team t.
func (fixture *fixture) declare(text string) {
	is := is.New(fixture.t)
	is.NoErr(os.MkdirAll(filepath.Join(fixture.directory, "t"), 0o700))
	is.NoErr(os.WriteFile(filepath.Join(fixture.directory, "t", "all.ini"), []byte(text), 0o600))
}

// Wait returns the report of the fixture and passes it to progress twice.
func (fixture *fixture) Wait(_ context.Context, _ uint64, progress func(commander.Report)) (commander.Report, error) {
	progress(fixture.report)
	progress(fixture.report) // an unchanged report must not be printed again
	return fixture.report, nil
}

// run runs a command and returns its exit code and output.
func (fixture *fixture) run(arguments ...string) (code int, stdout, stderr string) {
	var outBuffer, errBuffer bytes.Buffer
	command := &commander.Commander{
		Out: &outBuffer, Err: &errBuffer, Author: "asha", StatusClient: fixture.statusClient, Biller: fixture.biller,
		Open:   func(string) connector.Platform { return fixture.platform },
		Waiter: func(connector.Platform) commander.Waiter { return fixture },
		Secret: func() string { return "not-a-secret" },
		Now:    func() time.Time { return time.Unix(1000, 0).UTC() },
	}
	arguments = append(arguments, "--platform", "http://127.0.0.1:1", "--settings", fixture.directory)
	code = command.Run(fixture.t.Context(), arguments)
	return code, outBuffer.String(), errBuffer.String()
}

// want runs a command and fails the test unless exit code and output match.
func (fixture *fixture) want(code int, stdout, stderr string, arguments ...string) {
	fixture.t.Helper()
	gotCode, gotStdout, gotStderr := fixture.run(arguments...)
	if gotCode != code || gotStdout != stdout || gotStderr != stderr {
		fixture.t.Fatalf("%v\ngot  %d %q %q\nwant %d %q %q", arguments, gotCode, gotStdout, gotStderr, code, stdout, stderr)
	}
}

// faultyPlatform calls before right before the next transaction. With
// loseAnswers it commits transactions but returns no answer, and reads fail
// afterwards.
type faultyPlatform struct {
	connector.Platform
	before      func()
	loseAnswers bool
	readsFail   bool
}

// Transact calls before once, then runs the transaction.
func (faultyPlatform *faultyPlatform) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	if before := faultyPlatform.before; before != nil {
		faultyPlatform.before = nil
		before()
	}
	outcome, err := faultyPlatform.Platform.Transact(ctx, transaction)
	if faultyPlatform.loseAnswers {
		faultyPlatform.readsFail = true
		return connector.Outcome{}, &connector.LostAnswerError{Cause: errors.New("answer lost")}
	}
	return outcome, err
}

// Row fails after the answer of a transaction was lost.
func (faultyPlatform *faultyPlatform) Row(ctx context.Context, key string) (connector.Row, error) {
	if faultyPlatform.readsFail {
		return connector.Row{}, &connector.UnavailableError{Reason: "away"}
	}
	return faultyPlatform.Platform.Row(ctx, key)
}

func TestCheckReportsEveryMistakeAtOnce(t *testing.T) {
	fixture := newFixture(t, faker.New(), "[/t/organisations/o]\nrate = -5\nbrst = 5\n[/u/services/s]\n")
	fixture.want(3, "", `operator: the declarations are not valid, problems: 4
t/all.ini:1: /t/organisations/o: burst: is missing; allowed: a number from 1 to 1e+07 requests
t/all.ini:2: /t/organisations/o: rate = "-5": is not a number in the allowed range; allowed: a number from 0.01 to 1e+07 requests a second
t/all.ini:3: /t/organisations/o: brst = "5": unknown setting of an organisation; the nearest known name is "burst"; allowed: rate, burst, when-cut-off
t/all.ini:4: team "t" can't change "/u/services/s", which belongs to team "u"
`, "check")
}

func TestApplyReportsWhetherRevisionIsInForce(t *testing.T) {
	const applied = "t: revision 1 recorded, put 1, deleted 0\n"
	t.Run("in force", func(t *testing.T) {
		fixture := newFixture(t, faker.New(), organisation)
		fixture.want(0, applied, "revision 1 is in force, confirmed by 2\n", "apply")
		fixture.want(0, "t: nothing to change at revision 1\n", "revision 1 is in force, confirmed by 2\n", "apply")
	})
	t.Run("not in force", func(t *testing.T) {
		fixture := newFixture(t, faker.New(), organisation)
		fixture.report = commander.Report{Revision: 1, Confirmed: 1, Missing: []string{"vm-02"}}
		fixture.want(5, applied, "waiting for revision 1: confirmed by 1, missing 1: vm-02\n"+
			"operator: revision 1 is recorded but not in force: confirmed by 1, missing 1: vm-02\n", "apply")
	})
	refusing := commander.Report{Revision: 1, InForce: true, Refusing: true, Confirmed: 1, Missing: []string{"vm-02"}}
	t.Run("an isolated VM refuses", func(t *testing.T) {
		fixture := newFixture(t, faker.New(), organisation)
		fixture.report = refusing
		fixture.want(0, applied, "revision 1 is in force, confirmed by 1\n"+
			"these VMs refuse requests until they have it: vm-02\n", "apply")
	})
	t.Run("an isolated VM serves an organisation", func(t *testing.T) {
		fixture := newFixture(t, faker.New(), organisation+"when-cut-off = serve\n")
		fixture.report = refusing
		fixture.want(5, applied, "operator: revision 1 is recorded but not in force: confirmed by 1, missing 1: vm-02\n", "apply")
	})
	t.Run("no wait", func(t *testing.T) {
		fixture := newFixture(t, faker.New(), organisation)
		fixture.want(5, applied, "operator: revision 1 is recorded; whether it is in force is not known\n", "apply", "--wait", "0s")
	})
	t.Run("no VM registered", func(t *testing.T) {
		fixture := newFixture(t, faker.New(), organisation)
		fixture.report = commander.Report{InForce: true}
		fixture.want(5, applied, "operator: revision 1 is recorded; whether it is in force is not known\n", "apply")
	})
	t.Run("not in force, as JSON", func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture(t, faker.New(), organisation)
		fixture.report = commander.Report{Revision: 1, Confirmed: 1, Missing: []string{"vm-02"}}
		code, stdout, _ := fixture.run("apply", "--output", "json")
		is.Equal(code, 5)
		var output struct {
			Changes []struct{ Recorded bool }
			InForce struct {
				Known   bool
				Missing []string
			} `json:"in-force"`
		}
		is.NoErr(json.Unmarshal([]byte(stdout), &output))
		is.True(output.Changes[0].Recorded && !output.InForce.Known)
		is.Equal(output.InForce.Missing, []string{"vm-02"})
	})
	t.Run("platform unavailable", func(t *testing.T) {
		platform := faker.New()
		platform.SetFaults(faker.Faults{Outage: true})
		code, stdout, _ := newFixture(t, platform, organisation).run("apply")
		is.New(t).Equal([]any{code, stdout}, []any{7, ""})
	})
	t.Run("answer lost, change found by reading", func(t *testing.T) {
		platform := faker.New()
		platform.SetFaults(faker.Faults{LoseAnswers: true})
		newFixture(t, platform, organisation).want(0, applied, "revision 1 is in force, confirmed by 2\n", "apply")
	})
	t.Run("answer lost, reads fail", func(t *testing.T) {
		is := is.New(t)
		code, stdout, stderr := newFixture(t, &faultyPlatform{Platform: faker.New(), loseAnswers: true}, organisation).run("apply")
		is.Equal([]any{code, stdout}, []any{6, ""})
		is.True(strings.Contains(stderr, "may or may not be recorded"))
	})
	t.Run("raced", func(t *testing.T) {
		platform := &faultyPlatform{Platform: faker.New()}
		first, second := newFixture(t, platform, organisation), newFixture(t, platform, strings.Replace(organisation, "5", "6", 1))
		platform.before = func() { second.want(0, applied, "revision 1 is in force, confirmed by 2\n", "apply") }
		first.want(4, "", `operator: record change of team "t": team "t" is at revision 1, not at 0 as expected: another change was recorded first`+"\n", "apply")
	})
	t.Run("second of two teams fails", func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture(t, faker.New(), organisation)
		is.NoErr(os.MkdirAll(filepath.Join(fixture.directory, "u"), 0o700))
		other := strings.ReplaceAll(organisation, "/t/", "/u/")
		is.NoErr(os.WriteFile(filepath.Join(fixture.directory, "u", "all.ini"), []byte(other), 0o600))
		platform := &faultyPlatform{Platform: fixture.platform}
		platform.before = func() { platform.readsFail = true } // the next read fails
		fixture.platform = platform
		code, stdout, _ := fixture.run("apply")
		is.Equal([]any{code, stdout}, []any{8, applied})
	})
}

func TestWithdrawnKeyIsNotRestored(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, faker.New(), organisation)
	code, _, _ := fixture.run("apply")
	is.Equal(code, 0)
	code, stdout, _ := fixture.run("key", "give", "--organisation", "/t/organisations/o", "--name", "k")
	is.Equal(code, 0)
	is.Equal(strings.Count(stdout, "not-a-secret"), 1)
	declared := organisation + stdout[strings.LastIndex(stdout, "["):]
	_, stdout, _ = fixture.run("show", "/t/organisations/o/keys")
	is.True(!strings.Contains(stdout, "not-a-secret") && strings.Contains(stdout, "source = command"))
	fixture.want(0, "t: nothing to change at revision 2\n", "revision 2 is in force, confirmed by 2\n", "apply")
	fixture.declare(declared)
	fixture.want(0, "t: revision 3 recorded, put 1, deleted 0\n", "revision 3 is in force, confirmed by 2\n", "apply")
	fixture.want(0, "t: revision 4 recorded, put 1, deleted 1\n", "revision 4 is in force, confirmed by 2\n",
		"key", "withdraw", "/t/organisations/o/keys/k")
	code, stdout, stderr := fixture.run("apply")
	is.Equal([]any{code, stdout}, []any{3, ""})
	is.True(strings.Contains(stderr, "t/all.ini:4: /t/organisations/o/keys/k: sha-256: has been withdrawn"))
	fixture.want(0, "t: nothing to change at revision 4\nleft out: /t/organisations/o/keys/k has been withdrawn\n",
		"revision 4 is in force, confirmed by 2\n", "rollback", "--team", "t", "--to", "3")
	code, stdout, _ = fixture.run("history", "--limit", "1", "--output", "json")
	is.Equal(code, 0)
	is.True(strings.Contains(stdout, `"comment": "key withdrawn"`))
}

func TestRollbackRestoresStoredRevisionsOnly(t *testing.T) {
	is := is.New(t)
	platform := faker.New()
	fixture := newFixture(t, platform, organisation)
	for _, rate := range []string{"5", "6"} {
		fixture.declare(strings.Replace(organisation, "rate = 5", "rate = "+rate, 1))
		code, _, _ := fixture.run("apply")
		is.Equal(code, 0)
	}
	fixture.want(0, "t: revision 3 recorded, put 1, deleted 0\n", "revision 3 is in force, confirmed by 2\n", "rollback", "--team", "t", "--to", "1")
	_, stdout, _ := fixture.run("show", "/t/organisations/o")
	is.True(strings.Contains(stdout, "rate = 5"))
	_, err := platform.Transact(t.Context(), connector.Transaction{Deletes: []string{"config/change/000000000001"}})
	is.NoErr(err)
	fixture.want(2, "", "operator: --to 2 is no longer on record; check its files out of version control and apply them\n",
		"rollback", "--team", "t", "--to", "2")
}

func TestSecretIsShownOnlyIfKeyMayExist(t *testing.T) {
	is := is.New(t)
	platform := &faultyPlatform{Platform: faker.New()}
	fixture := newFixture(t, platform, organisation)
	give := []string{"key", "give", "--organisation", "/t/organisations/o", "--name", "k"}
	fixture.want(2, "", "operator: edit team \"t\": organisation /t/organisations/o does not exist\n", give...)
	code, _, _ := fixture.run("apply")
	is.Equal(code, 0)
	platform.loseAnswers = true
	code, stdout, stderr := fixture.run(give...)
	is.Equal(code, 6)
	is.True(strings.Contains(stdout, "may or may not be recorded") && strings.Contains(stdout, "not-a-secret"))
	is.True(!strings.Contains(stderr, "not-a-secret"))
	platform.loseAnswers, platform.readsFail = false, false
	fixture.want(2, "", "operator: edit team \"t\": /t/organisations/o/keys/k exists already; allowed: another --name\n", give...)
}

// statuses is a StatusClient with the status of each VM by address.
type statuses map[string]describer.Status

// Status returns the status of the VM at the address.
func (statuses statuses) Status(_ context.Context, address string) (describer.Status, error) {
	status, ok := statuses[address]
	if !ok {
		return status, errors.New("silent")
	}
	return status, nil
}

func TestUnreachableVMsAndRegionsAreReported(t *testing.T) {
	platform := faker.New()
	platform.SetVMs([]connector.VM{
		{Name: "vm-01", Region: "r", DataCentre: "d", Peers: "1", State: connector.VMLive},
		{Name: "vm-02", Region: "s", DataCentre: "e", Peers: "2", State: connector.VMLeaving},
	})
	fixture := newFixture(t, platform, organisation)
	ejection := describer.Ejection{
		Target: "/t/services/s/targets/a", Reason: "failures", By: "vm-01",
		Since: time.Unix(990, 0), Until: time.Unix(1020, 0),
		Evidence: []describer.Evidence{{VM: "vm-01", Good: 1, Failures: 9}},
	}
	fixture.statusClient = statuses{"1": {Name: "vm-01", Region: "r", DataCentre: "d", Revision: 7, Ready: true, KeysKnown: true, Version: "0.1.0", Ejections: []describer.Ejection{ejection}}}
	fixture.want(0, "vm-01  r/d  listed=live  revision=7  ready=true  leaving=false  keys-known=true  version=0.1.0\n"+
		"vm-02  s/e  listed=leaving  no answer: silent\n", "", "vms")
	fixture.want(0, "r  /t/services/s/targets/a  out for 10s, for 20s more  reason=failures  by=vm-01\n"+
		"    vm-01 saw good=1 failures=9 slow=0\ns: not known, no VM answered\n", "", "upstreams")
	fixture.statusClient = statuses{"1": {Name: "vm-01", Region: "r", DataCentre: "d"}}
	fixture.want(0, "no target is known to be kept out of use\ns: not known, no VM answered\n", "", "upstreams")
	platform.SetFaults(faker.Faults{Outage: true, ListOutage: true})
	fixture.want(0, "vm-01  r/d  revision=0  ready=false  leaving=false  keys-known=false  version=\n", "", "vms", "--vm", "1")
	fixture.statusClient = statuses{}
	fixture.want(1, "", "operator: no VM answered; whether targets are out of use is not known\n", "upstreams", "--vm", "1")
}

func TestBurnReportListsUnreadableObjects(t *testing.T) {
	is := is.New(t)
	platform := faker.New()
	fixture := newFixture(t, platform, "[/t/services/s]\nobjective = 99\n")
	code, _, _ := fixture.run("apply")
	is.Equal(code, 0)
	const empty = "burn up to 1970-01-01T00:20:00Z; 1 spends the budget of 30 days in 30 days\n"
	fixture.want(0, empty+"no answers are counted in the last 72 hours\n", "", "report", "burn")
	uploader := &archiver.Archiver{Platform: platform, DataCentre: "d", Owner: burner.Source{VM: "vm-01"}}
	is.NoErr(uploader.Save(t.Context(), 0, []burner.Record{{Bucket: 3, Lines: []burner.Line{
		{Pair: burner.Pair{Service: "/t/services/s", Organisation: "o"}, Counts: burner.Counts{Good: 80, Bad: 20}}}}}))
	const rows = "LEVEL  SERVICE        ORGANISATION  OBJECTIVE  5m     30m    1h     6h     72h    ANSWERS\n" +
		"page   /t/services/s  all           99%        20.00  20.00  20.00  20.00  20.00  100\n" +
		"page   /t/services/s  o             99%        20.00  20.00  20.00  20.00  20.00  100\n"
	fixture.want(0, empty+rows, "", "report", "burn")
	is.NoErr(platform.PutObject(t.Context(), "burn/d/000/0", []byte("spoilt")))
	code, stdout, stderr := fixture.run("report", "burn")
	is.Equal([]any{code, stdout}, []any{0, empty + "no answers are counted in the last 72 hours\nincomplete: 1 stored parts could not be read\n"})
	is.True(strings.HasPrefix(stderr, "could not read burn/d/000/0: "))
}

func TestNegativeLimitIsAnError(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, faker.New(), "[/t/services/s]\nobjective = 99\n")
	code, _, _ := fixture.run("apply")
	is.Equal(code, 0)
	for _, command := range [][]string{{"report", "burn"}, {"history"}} {
		fixture.want(2, "", "operator: --limit is -1; allowed: 0 or more\n", append(command, "--limit", "-1")...)
	}
}

// forecasts is a Biller with fixed forecasts.
type forecasts []commander.Forecast

// Forecast returns the forecasts.
func (forecasts forecasts) Forecast(context.Context, connector.Platform, time.Time) ([]commander.Forecast, error) {
	return forecasts, nil
}

func TestBillAddsUpCostsAndInterval(t *testing.T) {
	fixture := newFixture(t, faker.New(), organisation)
	const notMetered = "operator: no metered traffic is recorded; a bill can't be forecast\n"
	fixture.want(1, "", notMetered, "report", "bill")
	month := time.Date(2027, 2, 1, 0, 0, 0, 0, time.UTC)
	fixture.biller = forecasts{
		{Team: "t", From: "kutch", To: "charotar", Month: month, ThisMonth: 5e9, Low: 8e9, Expected: 1e10, High: 15e9, Price: 0.1},
		{Team: "u", From: "kutch", To: "charotar", Month: month, Low: 1e9, Expected: 2e9, High: 3e9, Price: 1},
	}
	fixture.want(0, "TEAM  FROM   TO        MONTH    GB SO FAR  GB EXPECTED  COST LOW  COST EXPECTED  COST HIGH\n"+
		"t     kutch  charotar  2027-02  5.0        10.0         0.80      1.00           1.50\n"+
		"u     kutch  charotar  2027-02  0.0        2.0          1.00      2.00           3.00\n"+
		"all                                                     1.80      3.00           4.50\n", "", "report", "bill")
	fixture.want(1, "", notMetered, "report", "bill", "--team", "v")
}

func TestSettingsPageListsEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(page), commander.SettingsPage())) // if not, copy the output of operator describe to the page
}
