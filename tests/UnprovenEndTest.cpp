#include "tests/CrashFleet.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <optional>

using namespace crocusmount;
using namespace crocusmount::relay;

namespace {

/// What a call has led to.
enum class Outcome { Open, Complete, BrokenOff, Resumed };

/// Runs one stream that ends without a proof, and the checks that follow.
class UnprovenStream {
public:
    /// @param path  of the call
    explicit UnprovenStream(const char* path)
        : m_start(m_harness.running(path, 3))
    {
    }

    RelayHarness& harness() { return m_harness; }
    const BackendId& firstStage() const { return m_start.server; }
    const BackendId& lastStage() const { return m_start.chain.hops().back().backend; }
    AttemptId attempt() const { return m_start.attempt; }
    /// @return the address of the first stage
    std::string address() const { return m_start.chain.hops().front().address; }
    Outcome outcome() const { return m_outcome; }
    std::size_t checks() const { return m_checked.size(); }
    std::size_t checksOf(const BackendId& id) const
    {
        return static_cast<std::size_t>(std::count(m_checked.begin(), m_checked.end(), id));
    }
    bool hasChecked(const BackendId& id) const
    {
        return std::find(m_checked.begin(), m_checked.end(), id) != m_checked.end();
    }

    /// Ends the attempt, and lets time pass until the check is due.
    void end()
    {
        m_harness.send(relay::event::AttemptEnded { m_start.attempt, AttemptResult::Unproven, 200, "" });
        note();
        tick(50);
    }
    /// Lets a pause pass, after which all stages are in question. The checks for its sake are answered.
    void pause()
    {
        tick(300);
        answer(firstStage(), true, false);
        answer(lastStage(), true, false);
        m_checked.clear();
        tick(20);
    }
    /// Answers the check or the probe under way.
    void answer(const BackendId& engine, bool isAnswered, bool isRefused)
    {
        using Finding = relay::event::ServerProbed::Finding;
        const auto pending = m_pending.find(engine);
        if (pending != m_pending.end() && pending->second.isProbe) {
            const Finding finding = isAnswered ? Finding::Alive : isRefused ? Finding::Ended : Finding::Unknown;
            m_harness.send(relay::event::ServerProbed { engine, finding, isAnswered });
        } else {
            m_harness.send(relay::event::EngineChecked { engine, isAnswered, 1, isRefused });
        }
        note();
    }
    /// The engine answers, under its id, a probe that is sent now.
    void proveAlive(const BackendId& engine)
    {
        m_harness.send(relay::event::CheckAnsweredLate { engine, {}, m_harness.now(), true });
        note();
    }
    /// After a failure a call may wait for checks of other stages, and for what ended its server.
    void waitForOutcome(int milliseconds = 2000)
    {
        for (int waited = 0; waited < milliseconds && m_outcome == Outcome::Open; waited += 20)
            tick(20);
    }
    /// Lets time pass in which no check or probe is answered, each after the time that it has.
    void missChecks(int milliseconds)
    {
        for (int waited = 0; waited < milliseconds; waited += 20) {
            tick(20);
            std::vector<BackendId> missed;
            for (const auto& [id, pending] : m_pending) {
                if (m_harness.now() >= pending.missedAt)
                    missed.push_back(id);
            }
            for (const BackendId& id : missed) {
                const Pending pending = m_pending.at(id);
                answer(id, false, false);
                if (m_pending.at(id).missedAt == pending.missedAt)
                    m_pending.erase(id);
            }
        }
    }
    /// Looks at another attempt of the call from now on.
    void follow(const relay::effect::StartAttempt& other)
    {
        m_start = other;
        m_beside.reset();
    }
    /// Sends an event.
    void send(RelayEventBody body)
    {
        m_harness.send(std::move(body));
        note();
    }
    /// @return the attempt beside the wait, if one has been started
    const std::optional<relay::effect::StartAttempt>& beside() const { return m_beside; }
    /// @return whether an attempt was cancelled
    bool hasCancelled(AttemptId id) const
    {
        return std::find(m_cancelled.begin(), m_cancelled.end(), id) != m_cancelled.end();
    }
    /// Forgets that the call was resumed, so that what follows shows.
    void goOn() { m_outcome = Outcome::Open; }
    void tick(int milliseconds)
    {
        m_harness.tick(std::chrono::milliseconds(milliseconds));
        note();
    }

private:
    void note()
    {
        for (const RelayEffect& each : m_harness.effects()) {
            if (const auto* check = std::get_if<relay::effect::CheckEngine>(&each)) {
                m_checked.push_back(check->engine);
                m_pending[check->engine] = { m_harness.now() + std::chrono::milliseconds(80), false };
            }
            if (const auto* probe = std::get_if<relay::effect::ProbeServer>(&each)) {
                m_checked.push_back(probe->server);
                m_pending[probe->server] = { m_harness.now() + std::chrono::milliseconds(150), true };
            }
            if (std::holds_alternative<relay::effect::CompleteAnswer>(each))
                m_outcome = Outcome::Complete;
            if (std::holds_alternative<relay::effect::BreakAnswer>(each))
                m_outcome = Outcome::BrokenOff;
            if (const auto* start = std::get_if<relay::effect::StartAttempt>(&each)) {
                m_outcome = Outcome::Resumed;
                m_beside = *start;
            }
            if (const auto* cancel = std::get_if<relay::effect::CancelAttempt>(&each))
                m_cancelled.push_back(cancel->attempt);
        }
    }

    RelayHarness m_harness;
    relay::effect::StartAttempt m_start;
    Outcome m_outcome = Outcome::Open;
    std::vector<BackendId> m_checked;
    std::optional<relay::effect::StartAttempt> m_beside;
    std::vector<AttemptId> m_cancelled;
    /// A check or a probe that is not answered yet.
    struct Pending {
        TimePoint missedAt;
        bool isProbe = false;
    };
    std::map<BackendId, Pending> m_pending;
};

/// Milliseconds until the deadline of a call of the harness.
constexpr int CallTime = 20000;

} // namespace

TEST_GROUP(UnprovenEnd) {};

TEST(UnprovenEnd, AStreamWhoseServerDiedBetweenTwoEventsIsNotComplete)
{
    const struct {
        const char* name;
        const char* path;
        bool isAnswered;
        bool isRefused;
        Outcome outcome;
    } cases[] = {
        { "alive", "/once/1", true, false, Outcome::Complete },
        { "refused", "/once/1", false, true, Outcome::BrokenOff },
        { "silent", "/once/1", false, false, Outcome::Open },
        { "resumable, alive", "/draft/1", true, false, Outcome::Complete },
        { "resumable, refused", "/draft/1", false, true, Outcome::Resumed },
        { "resumable, silent", "/draft/1", false, false, Outcome::Resumed },
    };
    for (const auto& each : cases) {
        UnprovenStream stream(each.path);
        stream.end();
        CHECK_TRUE_TEXT(stream.outcome() == Outcome::Open, each.name);
        CHECK_TRUE_TEXT(stream.hasChecked(stream.firstStage()), each.name);
        CHECK_EQUAL_TEXT(1U, stream.checks(), each.name);
        stream.answer(stream.firstStage(), each.isAnswered, each.isRefused);
        stream.waitForOutcome();
        CHECK_TRUE_TEXT(stream.outcome() == each.outcome, each.name);
        const bool isOpen = each.outcome == Outcome::Resumed || each.outcome == Outcome::Open;
        CHECK_EQUAL_TEXT(isOpen ? 1U : 0U, stream.harness().reducer().openCalls(), each.name);
    }
}

TEST(UnprovenEnd, AResumedStreamContinuesAfterTheLastEventOfTheDeadServer)
{
    UnprovenStream stream("/draft/1");
    stream.end();
    stream.answer(stream.firstStage(), false, true);
    stream.waitForOutcome();
    const auto resumed = stream.harness().last<relay::effect::StartAttempt>();
    CHECK_TRUE(resumed.has_value());
    CHECK_EQUAL(3U, resumed->resumeAfter.value_or(0));
    CHECK_FALSE(resumed->server == stream.firstStage());
}

// A first stage cuts a stream off that has waited too long for a stage that died, and is alive itself.
TEST(UnprovenEnd, AStreamThatEndsAfterAPauseIsCompleteOnlyIfAllStagesAreAlive)
{
    for (const bool isLastStageAlive : { true, false }) {
        UnprovenStream stream("/once/1");
        stream.pause();
        stream.end();
        CHECK_TRUE(stream.hasChecked(stream.firstStage()) && stream.hasChecked(stream.lastStage()));
        stream.answer(stream.firstStage(), true, false);
        CHECK_TRUE(stream.outcome() == Outcome::Open);
        stream.answer(stream.lastStage(), isLastStageAlive, !isLastStageAlive);
        CHECK_TRUE(stream.outcome() == (isLastStageAlive ? Outcome::Complete : Outcome::BrokenOff));
    }
}

TEST(UnprovenEnd, ACheckThatWasSentBeforeTheEndProvesNothing)
{
    UnprovenStream stream("/once/1");
    relay::event::EnginesReportedDead reported;
    reported.engines.push_back(engineKey(stream.firstStage(), {}));
    stream.harness().send(reported);
    CHECK_TRUE(stream.harness().last<relay::effect::CheckEngine>().has_value());
    stream.harness().tick(std::chrono::milliseconds(5));
    stream.end();
    stream.answer(stream.firstStage(), true, false);
    CHECK_TRUE(stream.outcome() == Outcome::Open);
    stream.tick(200);
    CHECK_TRUE(stream.hasChecked(stream.firstStage()));
    stream.answer(stream.firstStage(), true, false);
    CHECK_TRUE(stream.outcome() == Outcome::Complete);
}

// A leaving server stops listening before its answers have ended, and cuts off what is left when it exits.
TEST(UnprovenEnd, TheRefusalOfALeavingServerProvesNothing)
{
    for (const bool isRepeatable : { false, true }) {
        UnprovenStream stream(isRepeatable ? "/draft/1" : "/once/1");
        RegisteredServer leaving = RelayHarness::engine(stream.firstStage().value(), 0, 4);
        leaving.leaving = true;
        stream.harness().send(relay::event::ServerRegistered { leaving });
        stream.end();
        stream.answer(stream.firstStage(), false, true);
        CHECK_TRUE(isRepeatable || stream.outcome() == Outcome::Open);
        stream.waitForOutcome(CallTime - 1000);
        CHECK_TRUE(stream.outcome() == (isRepeatable ? Outcome::Resumed : Outcome::Open));
    }
}

TEST(UnprovenEnd, WithoutASignOfLifeAnAnswerIsNotComplete)
{
    enum class Obstacle { Backoff, NoEntry, NoChecks };
    for (const Obstacle obstacle : { Obstacle::Backoff, Obstacle::NoEntry, Obstacle::NoChecks }) {
        for (const bool hasLaterEvents : { false, true }) {
            RelayOptions options;
            if (obstacle == Obstacle::NoChecks)
                options.without = *DisabledMechanisms::make("engine-checks");
            RelayHarness harness(options);
            const relay::effect::StartAttempt ending = harness.running("/once/1", 3);
            relay::effect::StartAttempt other = ending;
            for (int tries = 0; tries < 8 && (!tries || other.server != ending.server); ++tries)
                other = harness.running("/once/2", 1);
            harness.events(other.attempt, 2, 20); // A pause of the other stream puts all its stages in question.
            ServerNotice notice;
            notice.retryAfter = std::chrono::seconds(9);
            if (obstacle == Obstacle::Backoff)
                harness.notice(ending, notice);
            if (obstacle == Obstacle::NoEntry)
                harness.send(relay::event::ServerUnregistered { ending.server });
            harness.send(relay::event::AttemptEnded { ending.attempt, AttemptResult::Unproven, 200, "" });
            bool isComplete = false;
            bool isBrokenOff = false;
            int waited = 0;
            for (; waited < CallTime && !isComplete && !isBrokenOff; waited += 20) {
                harness.tick(std::chrono::milliseconds(20));
                isComplete = harness.last<relay::effect::CompleteAnswer>().has_value();
                isBrokenOff = harness.last<relay::effect::BreakAnswer>().has_value();
                const auto check = harness.last<relay::effect::CheckEngine>();
                const auto probe = harness.last<relay::effect::ProbeServer>();
                const bool isInBackoff = obstacle == Obstacle::Backoff && waited < 8900;
                CHECK_FALSE(isInBackoff && check && check->engine == ending.server);
                CHECK_FALSE(isInBackoff && probe && probe->server == ending.server);
                if (hasLaterEvents)
                    harness.send(relay::event::EventDelivered { other.attempt, 21U + unsigned(waited) / 20 });
            }
            const bool hasEvidence = hasLaterEvents && obstacle != Obstacle::NoEntry;
            CHECK_EQUAL(hasEvidence, isComplete);
            CHECK_EQUAL(!hasEvidence, isBrokenOff);
            CHECK_TRUE(hasEvidence || waited > CallTime - 1000);
        }
    }
}

// A busy engine, or an instance short of processor time, lost answers that were whole.
TEST(UnprovenEnd, AnAnswerWhoseServerIsSilentIsNotLostToAClock)
{
    for (const int silence : { 300, 600, 900, 2500, 6000, 19000 }) {
        for (const bool isAnswered : { false, true }) {
            const std::string name = absl::StrCat(silence, " ms", isAnswered ? ", missed checks" : "");
            UnprovenStream stream("/once/1");
            stream.end();
            if (isAnswered)
                stream.missChecks(silence);
            else
                stream.waitForOutcome(silence);
            CHECK_TRUE_TEXT(stream.outcome() == Outcome::Open, name.c_str());
            stream.waitForOutcome(1200);
            if (silence < 19000)
                stream.answer(stream.firstStage(), true, false);
            const Outcome expected = silence < 19000 ? Outcome::Complete : Outcome::BrokenOff;
            CHECK_TRUE_TEXT(stream.outcome() == expected, name.c_str());
            CHECK_EQUAL_TEXT(0U, stream.harness().reducer().openCalls(), name.c_str());
        }
    }
}

TEST(UnprovenEnd, AnEndThatNothingProvesCostsBoundedChecks)
{
    UnprovenStream stream("/once/1");
    stream.end();
    stream.missChecks(5000);
    const std::size_t early = stream.checksOf(stream.firstStage());
    CHECK_TRUE_TEXT(early <= 50, absl::StrCat(early).c_str());
    stream.missChecks(10000);
    const std::size_t late = stream.checksOf(stream.firstStage()) - early;
    CHECK_TRUE_TEXT(late >= 5 && late <= 11, absl::StrCat(late).c_str());
}

TEST(UnprovenEnd, AResumableAnswerIsCompletedByWhatComesFirst)
{
    enum class First { SignOfLife, Event, End, UnprovenEnd, Failure, Rejection, ProofOfDeath };
    const struct {
        const char* name;
        First first;
        Outcome outcome;
    } cases[] = {
        { "sign of life", First::SignOfLife, Outcome::Complete },
        { "event of the other attempt", First::Event, Outcome::Open },
        { "end of the other attempt", First::End, Outcome::Open },
        { "unproven end of the other attempt", First::UnprovenEnd, Outcome::Open },
        { "the other attempt breaks off", First::Failure, Outcome::Open },
        { "the other attempt is rejected", First::Rejection, Outcome::Open },
        { "the server has ended", First::ProofOfDeath, Outcome::Open },
    };
    for (const auto& each : cases) {
        UnprovenStream stream("/draft/1");
        stream.end();
        stream.missChecks(1000);
        CHECK_TRUE_TEXT(stream.beside().has_value(), each.name);
        const relay::effect::StartAttempt other = *stream.beside();
        CHECK_EQUAL_TEXT(3U, other.resumeAfter.value_or(0), each.name);
        CHECK_FALSE_TEXT(other.server == stream.firstStage(), each.name);
        stream.send(relay::event::AttemptSent { other.attempt });
        stream.goOn();
        switch (each.first) {
        case First::SignOfLife:
            stream.proveAlive(stream.firstStage());
            CHECK_TRUE_TEXT(stream.hasCancelled(other.attempt), each.name);
            break;
        case First::Event:
            stream.send(relay::event::EventDelivered { other.attempt, 4 });
            stream.proveAlive(stream.firstStage());
            CHECK_FALSE_TEXT(stream.hasCancelled(other.attempt), each.name);
            break;
        case First::End:
            stream.send(relay::event::AttemptEnded { other.attempt, AttemptResult::Completed, 200, "" });
            CHECK_EQUAL_TEXT(0U, stream.harness().reducer().openCalls(), each.name);
            break;
        case First::UnprovenEnd:
            stream.send(relay::event::AnswerBegun { other.attempt });
            stream.send(relay::event::AttemptEnded { other.attempt, AttemptResult::Unproven, 200, "" });
            stream.proveAlive(stream.firstStage());
            CHECK_TRUE_TEXT(stream.outcome() == Outcome::Open, each.name);
            stream.tick(60);
            for (const Hop& hop : other.chain.hops())
                stream.proveAlive(hop.backend);
            CHECK_TRUE_TEXT(stream.outcome() == Outcome::Complete, each.name);
            stream.goOn();
            break;
        case First::Failure:
        case First::Rejection:
            stream.send(relay::event::AttemptEnded {
                other.attempt, each.first == First::Failure ? AttemptResult::Broken : AttemptResult::NotRun, 503, "" });
            stream.missChecks(4000);
            CHECK_TRUE_TEXT(stream.outcome() != Outcome::BrokenOff, each.name);
            stream.proveAlive(stream.firstStage());
            CHECK_TRUE_TEXT(stream.outcome() == Outcome::Complete, each.name);
            stream.goOn();
            break;
        default:
            stream.send(relay::event::EngineChecked { stream.firstStage(), false, 1, true });
            CHECK_FALSE_TEXT(stream.hasCancelled(other.attempt), each.name);
            CHECK_EQUAL_TEXT(1U, stream.harness().reducer().openCalls(), each.name);
        }
        CHECK_TRUE_TEXT(stream.outcome() == each.outcome, each.name);
    }
}

// Where no other attempt was possible, a whole answer was broken off after two seconds.
TEST(UnprovenEnd, AResumableAnswerThatCannotContinueElsewhereWaitsForASign)
{
    enum class Obstacle { NoServer, NoAttempt };
    for (const Obstacle obstacle : { Obstacle::NoServer, Obstacle::NoAttempt }) {
        UnprovenStream stream("/draft/1");
        if (obstacle == Obstacle::NoServer) {
            for (const char* id : { "a", "b", "c", "d" }) {
                if (stream.firstStage().value() != id)
                    stream.send(relay::event::ServerUnregistered { BackendId(id) });
            }
        } else {
            stream.send(relay::event::AttemptEnded { stream.attempt(), AttemptResult::Broken, 200, "" });
            stream.waitForOutcome();
            CHECK_TRUE(stream.beside().has_value());
            stream.send(relay::event::AttemptSent { stream.beside()->attempt });
            stream.send(relay::event::EventDelivered { stream.beside()->attempt, 4 });
            stream.follow(*stream.beside());
            stream.goOn();
        }
        stream.end();
        stream.missChecks(6000);
        CHECK_TRUE(stream.outcome() == Outcome::Open);
        stream.proveAlive(stream.firstStage());
        CHECK_TRUE(stream.outcome() == Outcome::Complete);
    }
}

TEST(UnprovenEnd, TheEndOfAnAnswerWaitsNoLongerThanItsDeadline)
{
    for (const char* path : { "/once/1", "/draft/1" }) {
        UnprovenStream unanswered(path);
        unanswered.end();
        unanswered.missChecks(CallTime - 500);
        CHECK_TRUE(unanswered.outcome() != Outcome::BrokenOff);
        unanswered.missChecks(700);
        CHECK_TRUE(unanswered.outcome() == Outcome::BrokenOff);
        CHECK_EQUAL(0U, unanswered.harness().reducer().openCalls());
        CHECK_EQUAL(1U,
            unanswered.harness().reducer().counters().unprovenEnds.at(static_cast<std::size_t>(EndVerdict::Undecided)));
    }
}

TEST(UnprovenEnd, ACallerThatLeavesWhileTheEndIsCheckedEndsTheCall)
{
    UnprovenStream stream("/draft/1");
    stream.end();
    stream.harness().send(relay::event::CallerLeft { RequestId(1) });
    CHECK_EQUAL(0U, stream.harness().reducer().openCalls());
    stream.answer(stream.firstStage(), false, true);
    CHECK_TRUE(stream.outcome() == Outcome::Open);
}

TEST(UnprovenEnd, AnAnswerToALaterCallProvesThatTheServerIsAliveAtNoCost)
{
    for (const bool isLater : { false, true }) {
        RelayHarness harness;
        const relay::effect::StartAttempt earlier = harness.running("/once/1");
        const relay::effect::StartAttempt ending = harness.running("/once/2", 3);
        relay::effect::StartAttempt other = earlier;
        harness.send(relay::event::AttemptEnded { ending.attempt, AttemptResult::Unproven, 200, "" });
        harness.tick(std::chrono::milliseconds(5));
        for (int tries = 0; isLater && (tries == 0 || other.server != ending.server) && tries < 8; ++tries)
            other = harness.running("/once/3");
        harness.send(relay::event::AnswerBegun { other.attempt });
        CHECK_EQUAL(isLater, harness.last<relay::effect::CompleteAnswer>().has_value());
        harness.tick(std::chrono::milliseconds(50));
        CHECK_EQUAL(!isLater, harness.last<relay::effect::ProbeServer>().has_value());
    }
}

// The budget for checks may delay a check until the end can wait no longer.
TEST(UnprovenEnd, ACheckThatIsUnderWayIsNotTakenForUnanswered)
{
    UnprovenStream stream("/once/1");
    stream.end();
    stream.tick(480);
    CHECK_TRUE(stream.outcome() == Outcome::Open);
    stream.answer(stream.firstStage(), true, false);
    CHECK_TRUE(stream.outcome() == Outcome::Complete);
}

// A second attempt that outlived its call ended the process with its next event.
TEST(UnprovenEnd, NoAttemptOutlivesACallThatACheckCompletes)
{
    UnprovenStream stream("/draft/1");
    const auto main = stream.attempt();
    stream.end();
    stream.harness().send(relay::event::StalledStageReported { main, stream.address() });
    CHECK_FALSE(stream.harness().last<relay::effect::StartAttempt>().has_value());
    CHECK_FALSE(stream.harness().last<relay::effect::RerouteAttempt>().has_value());
    stream.answer(stream.firstStage(), true, false);
    CHECK_TRUE(stream.outcome() == Outcome::Complete);
    CHECK_EQUAL(0U, stream.harness().reducer().openCalls());
    for (const auto& [id, server] : stream.harness().reducer().fleet().servers())
        DOUBLES_EQUAL(0, server.ownTokenLayers, 1e-6);
}

TEST(UnprovenEnd, AnEndBesideASecondAttemptIsVerifiedAndCancelsIt)
{
    for (const bool isRejectedBefore : { false, true }) {
        UnprovenStream stream("/draft/1");
        stream.harness().send(relay::event::StalledStageReported { stream.attempt(), stream.address() });
        const auto second = stream.harness().last<relay::effect::StartAttempt>();
        CHECK_TRUE(second.has_value());
        stream.harness().send(relay::event::AttemptSent { second->attempt });
        stream.end();
        if (isRejectedBefore)
            stream.harness().send(relay::event::AttemptEnded { second->attempt, AttemptResult::NotRun, 503, "" });
        stream.answer(stream.firstStage(), true, false);
        for (const BackendId& id : { BackendId("b"), BackendId("d") })
            stream.answer(id, true, false);
        CHECK_TRUE(stream.outcome() == Outcome::Complete);
        CHECK_EQUAL(0U, stream.harness().reducer().openCalls());
        stream.harness().send(relay::event::EventDelivered { second->attempt, 4 });
    }
}

TEST(UnprovenEnd, AStreamThatLostAStageIsNotComplete)
{
    UnprovenStream stream("/once/1");
    stream.answer(stream.lastStage(), false, true);
    stream.end();
    stream.answer(stream.firstStage(), true, false);
    CHECK_TRUE(stream.outcome() == Outcome::BrokenOff);
}

TEST(UnprovenEnd, AnAnswerThatMayNotRunAgainIsNotLostForOneMissedCheck)
{
    UnprovenStream stream("/once/1");
    stream.end();
    stream.answer(stream.firstStage(), false, false);
    CHECK_TRUE(stream.outcome() == Outcome::Open);
    stream.tick(110);
    stream.answer(stream.firstStage(), true, false);
    CHECK_TRUE(stream.outcome() == Outcome::Complete);
}

TEST(UnprovenEnd, AnEndNearTheDeadlineIsSettledOnce)
{
    UnprovenStream stream("/once/1");
    stream.tick(19800);
    stream.end();
    int finalAnswers = 0;
    for (int waited = 0; waited < 800; waited += 20) {
        stream.tick(20);
        finalAnswers += stream.harness().last<relay::effect::CompleteAnswer>().has_value();
        finalAnswers += stream.harness().last<relay::effect::BreakAnswer>().has_value();
    }
    CHECK_EQUAL(1, finalAnswers);
    CHECK_EQUAL(0U, stream.harness().reducer().openCalls());
}

// A fifth of the engines dies at one time under streams without length.
TEST(UnprovenEnd, NoStreamOfAFleetLooksCompleteBeforeItsLastEvent)
{
    for (const std::size_t instances : { 9U, 60U, 295U }) {
        CrashFleet::Options options;
        options.instances = instances;
        options.enginesPerHalf = 20;
        options.streamsHaveNoLength = true;
        CrashFleet fleet(options);
        bool hasCrashed = false;
        for (int sent = 0; sent < 600; ++sent) {
            fleet.sendHarmless(fleet.random() % fleet.instances());
            fleet.runUntil(fleet.elapsed() + std::chrono::milliseconds(5));
            if (!hasCrashed && fleet.elapsed() > std::chrono::seconds(2)) {
                hasCrashed = true;
                fleet.crashEngines(4, true);
                fleet.crashEngines(4, false);
            }
        }
        fleet.runUntil(std::chrono::seconds(8));
        const CrashFleet::Tally& tally = fleet.harmlessTally();
        std::uint64_t checks = 0;
        std::uint64_t diedUnder = 0;
        for (std::size_t each = 0; each < instances; ++each) {
            const RelayCounters& counters = fleet.reducer(each).counters();
            checks += counters.engineChecks;
            diedUnder += counters.unprovenEnds.at(static_cast<std::size_t>(EndVerdict::BrokenOff));
        }
        const std::string figures
            = absl::StrCat(instances, " instances: sent ", tally.sent, ", completed ", tally.completed, ", too early ",
                tally.completedTooEarly, ", failed ", tally.failed, ", broken off ", diedUnder, ", checks ", checks);
        CHECK_EQUAL_TEXT(0U, tally.completedTooEarly, figures.c_str());
        CHECK_TRUE_TEXT(diedUnder > 0, figures.c_str());
        CHECK_EQUAL_TEXT(tally.sent, tally.completed + tally.failed + tally.refusedPermanently, figures.c_str());
    }
}

namespace {

/// What is seen of a server after the end of an answer.
enum class Sign { AnswerToNewCall, Check, CheckWithStart, HealthAnswer, EventOfOldCall, EventOfNewCall };

/// Runs one call whose answer ends unproven, at servers that name their starts or do not, and lets its server end and
/// start again under its id.
class RestartedServer {
public:
    static constexpr std::int64_t FirstStart = 1000;
    static constexpr std::int64_t LaterStart = 2000;

    RestartedServer(bool isEngine, bool namesStarts)
        : m_isEngine(isEngine)
        , m_namesStarts(namesStarts)
    {
        if (namesStarts) {
            for (const char* id : { "a", "b", "c", "d", "x", "y" })
                registerServer(BackendId(id), FirstStart);
        }
        m_harness.tick(std::chrono::milliseconds(20));
        m_older = callAt(std::nullopt);
        m_harness.send(relay::event::AnswerBegun { m_older.attempt });
        // A silent stream would be checked before the end.
        if (isEngine)
            m_harness.events(m_older.attempt, 1, m_olderEvents = 20);
        else
            tick(400);
        m_ending = callAt(m_older.server);
        m_harness.send(relay::event::AnswerBegun { m_ending.attempt });
        if (isEngine)
            m_harness.events(m_ending.attempt, 1, 2);
        m_harness.send(relay::event::AttemptEnded { m_ending.attempt, AttemptResult::Unproven, 200, "" });
    }

    void tick(int milliseconds)
    {
        for (int waited = 0; waited < milliseconds; waited += 20) {
            m_harness.tick(std::chrono::milliseconds(20));
            note();
        }
    }
    /// Shows a sign of the process that is running.
    /// @param start  of that process
    void show(Sign sign, std::int64_t start)
    {
        const BackendId id = m_ending.server;
        if (sign == Sign::AnswerToNewCall || sign == Sign::EventOfNewCall) {
            const relay::effect::StartAttempt later = callAt(id);
            send(relay::event::AnswerBegun { later.attempt });
            for (std::uint64_t event = 1; sign == Sign::EventOfNewCall && event < 30; ++event) {
                send(relay::event::EventDelivered { later.attempt, event });
                tick(20);
            }
        } else if (sign == Sign::EventOfOldCall) {
            tick(300);
            send(relay::event::EventDelivered { m_older.attempt, ++m_olderEvents });
        } else {
            tick(100);
            const bool isNamed = m_namesStarts && sign == Sign::CheckWithStart;
            const StartTime answering(isNamed ? start : 0);
            if (m_isEngine && sign != Sign::HealthAnswer)
                send(relay::event::EngineChecked { id, true, 1, false, known(), answering, { 0, 4 } });
            else
                send(relay::event::ServerProbed { id, relay::event::ServerProbed::Finding::Alive, true, answering });
        }
        tick(20);
    }
    /// The entry of the later start arrives.
    void listLaterStart()
    {
        registerServer(m_ending.server, LaterStart);
        note();
        tick(20);
    }
    Outcome outcome() const { return m_outcome; }

private:
    StartTime known() const { return m_harness.reducer().fleet().servers().at(m_ending.server).entry.startedAt; }
    void registerServer(const BackendId& id, std::int64_t start)
    {
        RegisteredServer server = id.value() == "x" || id.value() == "y"
            ? RelayHarness::plain(id.value())
            : RelayHarness::engine(id.value(), id.value() == "a" || id.value() == "c" ? 0 : 4,
                id.value() == "a" || id.value() == "c" ? 4 : 8);
        server.startedAt = StartTime(start);
        m_harness.send(relay::event::ServerRegistered { server });
    }
    /// @return a running attempt, at a certain server if one is given; calls that reach others run on there
    relay::effect::StartAttempt callAt(const std::optional<BackendId>& server)
    {
        for (int tries = 0; tries < 6; ++tries) {
            auto start = m_harness.running(absl::StrCat(m_isEngine ? "/once/" : "/book/", ++m_calls));
            if (!server || start.server == *server)
                return start;
        }
        FAIL("no call reached the server");
        return {};
    }
    void send(RelayEventBody body)
    {
        m_harness.send(std::move(body));
        note();
    }
    void note()
    {
        for (const RelayEffect& each : m_harness.effects()) {
            if (const auto* complete = std::get_if<relay::effect::CompleteAnswer>(&each);
                complete && complete->call == m_ending.call)
                m_outcome = Outcome::Complete;
            if (const auto* broken = std::get_if<relay::effect::BreakAnswer>(&each);
                broken && broken->call == m_ending.call)
                m_outcome = Outcome::BrokenOff;
            if (const auto* refused = std::get_if<relay::effect::Refuse>(&each);
                refused && refused->call == m_ending.call)
                m_outcome = Outcome::BrokenOff;
        }
    }

    mutable RelayHarness m_harness;
    bool m_isEngine;
    bool m_namesStarts;
    int m_calls = 0;
    std::uint64_t m_olderEvents = 0;
    relay::effect::StartAttempt m_older;
    relay::effect::StartAttempt m_ending;
    Outcome m_outcome = Outcome::Open;
};

const char* nameOf(Sign sign)
{
    switch (sign) {
    case Sign::AnswerToNewCall:
        return "answer to a new call";
    case Sign::Check:
        return "check that names no start";
    case Sign::HealthAnswer:
        return "health answer that names the id";
    case Sign::CheckWithStart:
        return "check";
    case Sign::EventOfOldCall:
        return "event of an older call";
    case Sign::EventOfNewCall:
        return "events of a new call";
    }
    return "sign";
}

} // namespace

// A server that ended and started again under its id vouched for the answers that its end had cut off.
TEST(UnprovenEnd, ALaterStartDoesNotVouchForTheAnswersOfTheOneBefore)
{
    for (const bool isEngine : { false, true }) {
        for (const int restartedAfter : { 100, 300, 500, 800, 1200, 2500, 5000 }) {
            for (const Sign sign : { Sign::AnswerToNewCall, Sign::Check, Sign::CheckWithStart, Sign::HealthAnswer,
                     Sign::EventOfNewCall }) {
                RestartedServer server(isEngine, true);
                server.tick(restartedAfter);
                server.show(sign, RestartedServer::LaterStart);
                const std::string name
                    = absl::StrCat(isEngine ? "engine" : "plain server", ", ", restartedAfter, " ms, ", nameOf(sign));
                const bool isProof = sign == Sign::CheckWithStart;
                CHECK_TRUE_TEXT(server.outcome() == (isProof ? Outcome::BrokenOff : Outcome::Open), name.c_str());
                server.listLaterStart();
                CHECK_TRUE_TEXT(server.outcome() == Outcome::BrokenOff, name.c_str());
            }
        }
    }
}

TEST(UnprovenEnd, TheStartThatRanAnAnswerVouchesForIt)
{
    for (const bool isEngine : { false, true }) {
        for (const bool namesStarts : { false, true }) {
            for (const Sign sign : { Sign::AnswerToNewCall, Sign::Check, Sign::CheckWithStart, Sign::HealthAnswer,
                     Sign::EventOfOldCall, Sign::EventOfNewCall }) {
                RestartedServer server(isEngine, namesStarts);
                server.tick(200);
                server.show(sign, RestartedServer::FirstStart);
                const std::string name = absl::StrCat(
                    isEngine ? "engine" : "plain server", ", ", namesStarts ? "with start, " : "", nameOf(sign));
                // The report of an engine names neither its id nor, here, its start.
                const bool isAnonymous
                    = isEngine && !namesStarts && (sign == Sign::Check || sign == Sign::CheckWithStart);
                const bool vouches
                    = namesStarts ? sign == Sign::CheckWithStart || sign == Sign::EventOfOldCall : !isAnonymous;
                CHECK_TRUE_TEXT(server.outcome() == (vouches ? Outcome::Complete : Outcome::Open), name.c_str());
            }
        }
    }
}

namespace {

/// What comes from the address of an engine that has ended, where another engine runs now.
enum class SuccessorSign { Report, LateReport, RejectedHealthCheck, EventThroughChain, OtherId };

const struct {
    const char* name;
    SuccessorSign sign;
    Outcome outcome;
} SuccessorSigns[] = {
    { "report", SuccessorSign::Report, Outcome::Open },
    { "late report", SuccessorSign::LateReport, Outcome::Open },
    { "rejected health check", SuccessorSign::RejectedHealthCheck, Outcome::Open },
    { "event of a stream through a chain with the engine", SuccessorSign::EventThroughChain, Outcome::Open },
    { "health answer with another id", SuccessorSign::OtherId, Outcome::BrokenOff },
};

/// Sends a sign of another engine at the address of a stage of a stream that has ended unproven.
void showSuccessor(UnprovenStream& stream, SuccessorSign sign, const BackendId& stage)
{
    using Finding = relay::event::ServerProbed::Finding;
    switch (sign) {
    case SuccessorSign::Report:
        stream.send(relay::event::EngineChecked { stage, true });
        break;
    case SuccessorSign::LateReport:
        stream.send(relay::event::CheckAnsweredLate { stage, {}, stream.harness().now() });
        break;
    case SuccessorSign::RejectedHealthCheck:
        stream.send(relay::event::ServerProbed { stage, Finding::Unknown, true });
        break;
    case SuccessorSign::OtherId:
        stream.send(relay::event::ServerProbed { stage, Finding::Ended, true });
        break;
    case SuccessorSign::EventThroughChain:
        for (int tries = 0; tries < 8; ++tries) {
            const relay::effect::StartAttempt other = stream.harness().running(absl::StrCat("/once/", tries + 2));
            if (other.server == stage || !other.chain.contains(stage))
                continue;
            for (std::uint64_t event = 1; event < 30; ++event) {
                stream.send(relay::event::EventDelivered { other.attempt, event });
                stream.tick(20);
            }
            return;
        }
        FAIL("no stream has the stage");
    }
}

} // namespace

// Streams of an engine that had ended behind a partition were complete once its successor had answered a check.
TEST(UnprovenEnd, AnAnswerFromItsAddressDoesNotVouchForAnEngineThatHasEnded)
{
    for (const bool isLastStage : { false, true }) {
        for (const bool isLeaving : { false, true }) {
            for (const auto& each : SuccessorSigns) {
                // A first stage sends its streams itself, and a leaving stage gets no new ones.
                if ((!isLastStage || isLeaving) && each.sign == SuccessorSign::EventThroughChain)
                    continue;
                const std::string name = absl::StrCat(
                    each.name, isLastStage ? ", last stage" : ", first stage", isLeaving ? ", leaving" : "");
                UnprovenStream stream("/once/1");
                const BackendId stage = isLastStage ? stream.lastStage() : stream.firstStage();
                RegisteredServer entry = RelayHarness::engine(stage.value(), isLastStage ? 4 : 0, isLastStage ? 8 : 4);
                entry.leaving = isLeaving;
                if (isLeaving)
                    stream.send(relay::event::ServerRegistered { entry });
                stream.pause();
                stream.end();
                if (isLastStage)
                    stream.proveAlive(stream.firstStage());
                CHECK_TRUE_TEXT(stream.hasChecked(stage), name.c_str());
                showSuccessor(stream, each.sign, stage);
                CHECK_TRUE_TEXT(stream.outcome() == each.outcome, name.c_str());
                RegisteredServer successor = entry;
                successor.id = BackendId("successor");
                successor.leaving = false;
                successor.layers = {};
                stream.send(relay::event::ServerRegistered { successor });
                CHECK_TRUE_TEXT(stream.outcome() == Outcome::BrokenOff, name.c_str());
            }
        }
    }
}

// The end of each stream without length is delayed by the proof, so it must come soon where the engine lives.
TEST(UnprovenEnd, TheOnlyStreamOfALivingEngineIsCompleteWithinASecond)
{
    for (const int answeredAfter : { 0, 100, 140, 300, 600, 900 }) {
        for (const bool hasMissedCheck : { false, true }) {
            UnprovenStream stream("/once/1");
            stream.end();
            CHECK_TRUE(stream.hasChecked(stream.firstStage()));
            if (hasMissedCheck)
                stream.missChecks(answeredAfter);
            else
                stream.tick(answeredAfter);
            CHECK_TRUE(stream.outcome() == Outcome::Open);
            stream.proveAlive(stream.firstStage());
            CHECK_TRUE(stream.outcome() == Outcome::Complete);
            CHECK_EQUAL(0U, stream.harness().reducer().openCalls());
        }
    }
}

// A health check waits for a slot, so a busy engine lost no answer, and a second one was not started, for its silence.
TEST(UnprovenEnd, TheSilenceOfAProbeAloneDoesNotContinueAStreamElsewhere)
{
    UnprovenStream stream("/draft/1");
    stream.end();
    stream.tick(160);
    stream.answer(stream.firstStage(), false, false);
    CHECK_FALSE(stream.beside().has_value());
    // Its report, which needs no slot, is asked for instead.
    CHECK_EQUAL(2U, stream.checksOf(stream.firstStage()));
    stream.answer(stream.firstStage(), true, false);
    CHECK_TRUE(stream.outcome() == Outcome::Open);
    stream.tick(140);
    stream.answer(stream.firstStage(), true, false);
    CHECK_TRUE(stream.outcome() == Outcome::Complete);
}
