#include "tests/CutFleet.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::seconds;
using CutKind = CutFleet::CutKind;

TEST_GROUP(CutOffInstance) {};

namespace {

/// Time from the start of a cut until callers have to be served as well as those of other instances.
constexpr Duration SettlingTime = seconds(3);
/// Length of a cut, as in the incident.
constexpr Duration CutTime = seconds(12);

/// @return a description of how callers were served, for a failed check
std::string describe(const char* name, const CutFleet::FirstTries& cutOff, const CutFleet::FirstTries& others)
{
    return std::string(name) + ": cut off " + std::to_string(cutOff.served) + " of " + std::to_string(cutOff.sent)
        + ", others " + std::to_string(others.served) + " of " + std::to_string(others.sent);
}

/// Checks the promise to callers: those of instances that are cut off are served two thirds as often as the others, or
/// at most 10 + 1 in 50 of all first tries fail there.
void checkServed(const CutFleet& fleet, TimePoint cutAt, const char* name)
{
    const auto cutOff = fleet.firstTries(cutAt + SettlingTime, true);
    const auto others = fleet.firstTries(cutAt + SettlingTime, false);
    const std::size_t allowedFailures = 10 + (cutOff.sent + others.sent) / 50;
    const bool isServed = cutOff.servedShare() * 3 >= others.servedShare() * 2 || cutOff.failed() <= allowedFailures;
    CHECK_TRUE_TEXT(isServed, describe(name, cutOff, others).c_str());
    CHECK_TRUE_TEXT(others.sent > 0 && others.servedShare() > 0.9, describe(name, cutOff, others).c_str());
}

/// An instance whose checks and new connections nobody answers, while its servers answer the other instances.
class SilentServers {
public:
    SilentServers()
    {
        m_harness.send(relay::event::InstancesCounted { 4 });
        reportLoads();
    }

    RelayHarness& harness() { return m_harness; }
    /// From now on the servers answer no other instance either.
    void silenceForAll() { m_answersOthers = false; }
    /// Advances the clock; an attempt that is not `kept` cannot connect.
    /// @return whether a call was ended, or `kept` was cancelled
    bool run(Duration span, AttemptId kept)
    {
        bool hasEnded = false;
        for (Duration passed {}; passed < span; passed += Step) {
            reportLoads();
            hasEnded = failContacts(kept) || hasEnded;
            m_harness.tick(Step);
            hasEnded = failContacts(kept) || hasEnded;
        }
        return hasEnded;
    }

private:
    static constexpr Duration Step = std::chrono::milliseconds(20);

    void reportLoads()
    {
        EngineLoads others;
        for (const auto& [id, server] : m_harness.reducer().fleet().servers())
            others[engineKey(id)] = { engineKey(id), 0, 0, 0, m_answersOthers ? 1.0 : 0.0 };
        m_harness.send(relay::event::LoadsReported { others });
    }

    bool failContacts(AttemptId kept)
    {
        bool hasEnded = false;
        for (const RelayEffect& effect : RelayEffects(m_harness.effects())) {
            if (const auto* check = std::get_if<relay::effect::CheckEngine>(&effect))
                m_harness.send(relay::event::EngineChecked { check->engine, false, 1, false, check->startedAt });
            else if (const auto* probe = std::get_if<relay::effect::ProbeServer>(&effect))
                m_harness.send(
                    relay::event::ServerProbed { probe->server, relay::event::ServerProbed::Finding::Unknown, false });
            else if (const auto* started = std::get_if<relay::effect::StartAttempt>(&effect))
                m_harness.send(relay::event::AttemptEnded { started->attempt, AttemptResult::ConnectFailed });
            else if (const auto* cancelled = std::get_if<relay::effect::CancelAttempt>(&effect))
                hasEnded = hasEnded || cancelled->attempt == kept;
            else if (std::holds_alternative<relay::effect::BreakAnswer>(effect)
                || std::holds_alternative<relay::effect::Refuse>(effect))
                hasEnded = true;
        }
        return hasEnded;
    }

    RelayHarness m_harness;
    bool m_answersOthers = true;
};

} // namespace

// An instance that took itself for cut off ended all streams that had no event for 450 ms, while their engines ran
// them.
TEST(CutOffInstance, SilenceDoesNotEndCallsThatServersAreRunning)
{
    const struct {
        const char* name;
        const char* path;
        std::uint64_t events; ///< delivered before the silence
    } cases[] = {
        { "a stream", "/draft/1", 5 },
        { "a stream without an event", "/draft/1", 0 },
        { "a stream that must not run twice", "/once/1", 5 },
        { "a call that may be repeated", "/look/1", 0 },
        { "a call that must not run twice", "/book/1", 0 },
    };
    for (const auto& each : cases) {
        SilentServers silent;
        RelayHarness& harness = silent.harness();
        harness.running("/draft/2", 1); // Its silence makes the instance check the servers.
        const auto attempt = harness.running(each.path, each.events);
        CHECK_FALSE_TEXT(silent.run(seconds(4), attempt.attempt), each.name);
        CHECK_TRUE_TEXT(harness.reducer().isCutOff(), each.name);
        harness.call(each.path);
        CHECK_TRUE_TEXT(harness.last<relay::effect::Refuse>().has_value(), each.name);
        if (each.path != std::string("/look/1") && each.path != std::string("/book/1"))
            harness.events(attempt.attempt, each.events + 1, each.events + 2);
        harness.send(relay::event::AttemptEnded { attempt.attempt, AttemptResult::Completed });
        CHECK_EQUAL_TEXT(1U, harness.reducer().counters().completed, each.name);
    }
}

// Where all processes were short of processor time, all instances took themselves for cut off, refused each call, and
// stayed so, as nobody had contact with a server any more.
TEST(CutOffInstance, AnInstanceIsNotCutOffFromServersThatAnswerNobody)
{
    SilentServers silent;
    RelayHarness& harness = silent.harness();
    const auto attempt = harness.running("/draft/1", 5);
    silent.run(seconds(2), attempt.attempt);
    CHECK_TRUE(harness.reducer().isCutOff());
    silent.silenceForAll();
    silent.run(std::chrono::milliseconds(1200), attempt.attempt);
    CHECK_FALSE(harness.reducer().isCutOff());
    silent.run(seconds(4), attempt.attempt);
    CHECK_FALSE(harness.reducer().isCutOff());
    CHECK_EQUAL(1U, harness.reducer().counters().pathsLost);
}

// An answer whose attempt ended while its instance took itself for cut off was broken off at once.
TEST(CutOffInstance, AnInterruptedAnswerWaitsForThePathAsLongAsItsCallerWaits)
{
    SilentServers silent;
    RelayHarness& harness = silent.harness();
    const auto attempt = harness.running("/draft/1", 5);
    CHECK_FALSE(silent.run(seconds(1), attempt.attempt));
    harness.events(attempt.attempt, 6, 6);
    harness.send(relay::event::AttemptEnded { attempt.attempt, AttemptResult::Broken });
    CHECK_FALSE(harness.last<relay::effect::BreakAnswer>().has_value());
    CHECK_FALSE(silent.run(std::chrono::milliseconds(1900), attempt.attempt));
    CHECK_TRUE(harness.reducer().isCutOff());
    CHECK_TRUE(silent.run(std::chrono::milliseconds(200), attempt.attempt));
}

// Instances that had lost their path to all servers stayed in the directory and answered their callers with 503.
TEST(CutOffInstance, CallersOfInstancesWithoutAPathToTheServersAreServedLikeTheOthers)
{
    const struct {
        const char* name;
        std::size_t instances;
        std::size_t cut;
        CutKind kind;
        double callsPerSecond;
        const char* path;
    } cases[] = {
        { "1 of 9, hang", 9, 1, CutKind::Hang, 90, "/draft/1" },
        { "3 of 9, hang", 9, 3, CutKind::Hang, 90, "/draft/1" },
        { "3 of 9, reset", 9, 3, CutKind::Reset, 90, "/draft/1" },
        { "3 of 9, new ones refused", 9, 3, CutKind::RefuseNew, 90, "/draft/1" },
        { "8 of 9, hang", 9, 8, CutKind::Hang, 90, "/draft/1" },
        { "3 of 9, hang, a plain service", 9, 3, CutKind::Hang, 90, "/look/1" },
        { "3 of 9, refused, calls that must not run twice", 9, 3, CutKind::RefuseNew, 90, "/book/1" },
        { "20 of 60, hang", 60, 20, CutKind::Hang, 300, "/draft/1" },
        { "40 of 60, reset", 60, 40, CutKind::Reset, 300, "/draft/1" },
        { "98 of 295, hang", 295, 98, CutKind::Hang, 600, "/draft/1" },
        { "200 of 295, new ones refused", 295, 200, CutKind::RefuseNew, 600, "/draft/1" },
    };
    for (const auto& each : cases) {
        CutFleet::Options options;
        options.instances = each.instances;
        options.dataCentres = each.instances > 100 ? 5 : 3;
        options.serversOfEachRole = each.instances > 9 ? 12 : 4;
        options.callsPerSecond = each.callsPerSecond;
        options.path = each.path;
        CutFleet fleet(options);
        fleet.run(seconds(3));
        const TimePoint cutAt = fleet.now();
        fleet.cut(each.cut, each.kind);
        fleet.run(CutTime);
        checkServed(fleet, cutAt, each.name);
        LONGS_EQUAL_TEXT(0, fleet.ranTwice(), each.name);
        LONGS_EQUAL_TEXT(0, fleet.falselyNotRun(), each.name);
    }
}

// The directory leaves out what is cut off. It leaves out nobody where the servers have failed for all instances, and
// where all instances are cut off.
TEST(CutOffInstance, TheDirectoryNamesTheInstancesThatReachTheServers)
{
    const struct {
        const char* name;
        std::size_t cut; ///< of nine instances
        CutKind kind;
        bool areServersEnded;
        std::size_t named; ///< by each instance
    } cases[] = {
        { "one", 1, CutKind::Hang, false, 8 },
        { "a third", 3, CutKind::Reset, false, 6 },
        { "most", 8, CutKind::RefuseNew, false, 1 },
        { "all", 9, CutKind::Hang, false, 9 },
        { "all, refused", 9, CutKind::RefuseNew, false, 9 },
        { "none, and all servers end", 0, CutKind::Hang, true, 9 },
        { "a third, and all servers end", 3, CutKind::Hang, true, 9 },
    };
    for (const auto& each : cases) {
        CutFleet fleet({});
        fleet.run(seconds(3));
        fleet.cut(each.cut, each.kind);
        if (each.areServersEnded)
            fleet.endAllServers();
        fleet.run(seconds(6));
        for (std::size_t i = 0; i < 9; ++i)
            CHECK_EQUAL_TEXT(each.named, fleet.directorySize(i), each.name);
        if (each.areServersEnded)
            continue;
        fleet.heal();
        const TimePoint healed = fleet.now();
        fleet.run(seconds(4));
        for (std::size_t i = 0; i < 9; ++i)
            CHECK_EQUAL_TEXT(9U, fleet.directorySize(i), each.name);
        fleet.run(seconds(3));
        const auto after = fleet.firstTries(healed + seconds(4), false);
        CHECK_EQUAL_TEXT(after.sent, after.served, each.name);
    }
}

// A draining instance still answers callers that ask it for the directory. Once the others no longer listed it, it got
// no reports from them, and its directory named instances that were cut off.
TEST(CutOffInstance, TheDirectoryOfADrainingInstanceNamesNoneThatIsCutOff)
{
    for (const std::size_t draining : { 3U, 4U, 8U }) {
        CutFleet fleet({});
        fleet.run(seconds(3));
        fleet.unlist(draining);
        fleet.run(seconds(2));
        fleet.cut(3, CutKind::Hang);
        fleet.run(seconds(5));
        for (std::size_t cutOff = 0; cutOff < 3; ++cutOff)
            CHECK_FALSE(fleet.isNamed(draining, cutOff));
    }
}

// An instance with many calls returned to the directory 20 ms after it had been found cut off, and again and again:
// most contacts of the last second had been answered, before the cut.
TEST(CutOffInstance, AnswersFromBeforeTheCutDoNotBringAnInstanceBack)
{
    RelayHarness harness;
    harness.send(relay::event::InstancesCounted { 4 });
    const auto tick = [&] {
        EngineLoads others;
        for (const auto& [id, server] : harness.reducer().fleet().servers())
            others[engineKey(id)] = { engineKey(id), 0, 0, 0, 1 };
        harness.send(relay::event::LoadsReported { others });
        harness.tick(std::chrono::milliseconds(20));
    };
    for (int i = 0; i < 60; ++i) {
        tick();
        for (int call = 0; call < 3; ++call) {
            const auto attempt = harness.running("/look/1");
            harness.send(relay::event::AnswerBegun { attempt.attempt });
            harness.send(relay::event::AttemptEnded { attempt.attempt, AttemptResult::Completed });
        }
    }
    const auto failContacts = [&] {
        for (const RelayEffect& effect : RelayEffects(harness.effects())) {
            if (const auto* check = std::get_if<relay::effect::CheckEngine>(&effect))
                harness.send(relay::event::EngineChecked { check->engine, false, 1, false, check->startedAt });
            else if (const auto* probe = std::get_if<relay::effect::ProbeServer>(&effect))
                harness.send(
                    relay::event::ServerProbed { probe->server, relay::event::ServerProbed::Finding::Unknown, false });
            else if (const auto* started = std::get_if<relay::effect::StartAttempt>(&effect))
                harness.send(relay::event::AttemptEnded { started->attempt, AttemptResult::ConnectFailed });
        }
    };
    harness.call("/look/1");
    failContacts();
    for (int i = 0; i < 150; ++i) {
        tick();
        failContacts();
    }
    CHECK_TRUE(harness.reducer().isCutOff());
    CHECK_EQUAL(1U, harness.reducer().counters().pathsLost);
    CHECK_EQUAL(0U, harness.reducer().counters().pathsRestored);
}

// Some servers stay dead. Their silence must not keep an instance from returning that reaches the others.
TEST(CutOffInstance, AnInstanceReturnsThoughSomeServersStayDead)
{
    for (const std::size_t cut : { 3U, 8U, 9U }) {
        CutFleet fleet({});
        fleet.run(seconds(3));
        for (const char* dead : { "e0", "f0", "p0" })
            fleet.endServer(dead);
        fleet.run(seconds(2));
        fleet.cut(cut, CutKind::Hang);
        fleet.run(seconds(5));
        fleet.heal();
        fleet.run(seconds(4));
        for (std::size_t i = 0; i < 9; ++i) {
            CHECK_FALSE(fleet.reducer(i).isCutOff());
            CHECK_EQUAL(9U, fleet.directorySize(i));
        }
    }
}

// A whole data centre, with the collectors of the exchange.
TEST(CutOffInstance, CallersOfADataCentreThatIsCutOffAreServed)
{
    for (const std::size_t instances : { 9U, 60U }) {
        CutFleet::Options options;
        options.instances = instances;
        CutFleet fleet(options);
        fleet.run(seconds(3));
        const TimePoint cutAt = fleet.now();
        fleet.cutDataCentre(1, CutKind::Hang);
        fleet.run(CutTime);
        checkServed(fleet, cutAt, "data centre 1");
    }
}

// Servers that stand still for a second are no partition: nobody leaves the directory.
TEST(CutOffInstance, ServersThatStandStillAreNotTakenForABrokenPath)
{
    const std::vector<std::string> some { "e0", "f1", "p0" };
    const std::vector<std::string> most { "e0", "e1", "e2", "f0", "f1", "f2", "p0", "p1", "p2" };
    const std::vector<std::string> all { "e0", "e1", "e2", "e3", "f0", "f1", "f2", "f3", "p0", "p1", "p2", "p3" };
    for (const auto& frozen : { some, most, all }) {
        CutFleet fleet({});
        fleet.run(seconds(3));
        fleet.freeze(frozen, std::chrono::milliseconds(1200));
        for (int step = 0; step < 40; ++step) {
            fleet.run(std::chrono::milliseconds(100));
            for (std::size_t i = 0; i < 9; ++i)
                CHECK_EQUAL(9U, fleet.directorySize(i));
        }
    }
}

// An instance whose process stood still finds all its checks timed out at once. That says nothing of its path.
TEST(CutOffInstance, AnInstanceThatStoodStillDoesNotTakeItsPathForBroken)
{
    for (const int milliseconds : { 500, 1500, 4000 }) {
        CutFleet fleet({});
        fleet.run(seconds(3));
        fleet.pause(2, std::chrono::milliseconds(milliseconds));
        for (int step = 0; step < 80; ++step) {
            fleet.run(std::chrono::milliseconds(100));
            CHECK_FALSE(fleet.reducer(2).isCutOff());
        }
    }
}

// An instance that is cut off takes no engine for dead: it would move layers, blame requests, and make the others avoid
// engines that are sound.
TEST(CutOffInstance, OtherInstancesAreNotToldOfServersThatSeemDeadFromBehindACut)
{
    for (const CutKind kind : { CutKind::Hang, CutKind::Reset, CutKind::RefuseNew }) {
        CutFleet fleet({});
        fleet.run(seconds(3));
        fleet.cut(4, kind);
        fleet.run(seconds(1));
        const std::size_t reportsSoFar = fleet.deadReports();
        fleet.run(seconds(11));
        CHECK_EQUAL(reportsSoFar, fleet.deadReports());
        CHECK_EQUAL(0U, fleet.quarantined());
        for (std::size_t i = 4; i < 9; ++i) {
            for (const auto& [id, server] : fleet.reducer(i).fleet().servers()) {
                CHECK_EQUAL_TEXT(0.0, server.othersLoad.avoiders, id.value().c_str());
                CHECK_FALSE_TEXT(server.isDead(fleet.now()), id.value().c_str());
            }
        }
    }
}

// Without the detection the first test has to fail.
TEST(CutOffInstance, TheCheckOfCallersFailsWithoutTheDetection)
{
    CutFleet::Options options;
    options.without = *DisabledMechanisms::make("path-detection");
    CutFleet fleet(options);
    fleet.run(seconds(3));
    const TimePoint cutAt = fleet.now();
    fleet.cut(3, CutKind::Hang);
    fleet.run(CutTime);
    CHECK_TRUE(fleet.firstTries(cutAt + SettlingTime, true).servedShare() < 0.1);
    CHECK_EQUAL(9U, fleet.directorySize(0));
}
