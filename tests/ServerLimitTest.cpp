#include "tests/LimitFleet.h"
#include "tests/Tests.h"

#include <functional>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ServerLimit) {};

namespace {

/// Time from the first answer that names a limit until the limit has to be kept.
constexpr Duration SettlingTime = seconds(3);
constexpr Duration Window = seconds(4);

/// @return the most requests that a server with a limit may receive within the window
std::size_t allowedRequests(double limitPerSecond)
{
    const double windowSeconds = std::chrono::duration<double>(Window).count();
    return static_cast<std::size_t>(1.5 * limitPerSecond * windowSeconds + 5);
}

/// Checks the requests that a server received since it named its limit.
void checkPeak(const LimitFleet& fleet, const char* server, double limitPerSecond, TimePoint named, const char* name)
{
    const std::size_t peak = fleet.peakArrivals(server, named + SettlingTime, Window);
    CHECK_TRUE_TEXT(peak <= allowedRequests(limitPerSecond), (std::string(name) + ": " + std::to_string(peak)).c_str());
}

} // namespace

// Instances ignored the limit that a server named, and it received several times as many requests.
TEST(ServerLimit, AllInstancesTogetherSendNoMoreThanAServerAccepts)
{
    const struct {
        const char* name;
        std::size_t instances;
        double limitPerSecond;
        double callsPerSecond;
        double shareOfFirstInstance;
        const char* path;
        const char* server;
    } cases[] = {
        { "9 instances", 9, 8.6, 60, 0, "/draft/1", "e0" },
        { "9 instances, callers at one of them", 9, 8.6, 60, 1, "/draft/1", "e0" },
        { "9 instances, a plain service", 9, 8.6, 60, 0, "/look/1", "p0" },
        { "9 instances, less than one request a second", 9, 0.5, 60, 0, "/draft/1", "e0" },
        { "60 instances", 60, 9.9, 200, 0, "/draft/1", "e0" },
        { "295 instances", 295, 9.9, 500, 0, "/draft/1", "e0" },
        { "295 instances, callers at one of them", 295, 9.9, 60, 1, "/draft/1", "e0" },
    };
    for (const auto& each : cases) {
        LimitFleet::Options options;
        options.instances = each.instances;
        options.callsPerSecond = each.callsPerSecond;
        options.shareOfFirstInstance = each.shareOfFirstInstance;
        options.path = each.path;
        LimitFleet fleet(options);
        fleet.run(seconds(1));
        fleet.setLimit(each.server, each.limitPerSecond);
        const TimePoint named = fleet.now();
        fleet.run(seconds(12));
        checkPeak(fleet, each.server, each.limitPerSecond, named, each.name);
    }
}

// Where no server without a limit is left, most of the limit is used and the other calls are refused at once.
TEST(ServerLimit, ALimitIsUsedAndWhatItDoesNotAdmitIsRefusedAtOnce)
{
    const struct {
        const char* name;
        std::size_t instances;
        double limitPerSecond;
        double callsPerSecond;
        double shareOfFirstInstance;
        const char* path;
        const char* server;
    } cases[] = {
        { "9 instances", 9, 8.6, 60, 0, "/draft/1", "e0" },
        { "9 instances, callers at one of them", 9, 8.6, 60, 1, "/draft/1", "e0" },
        { "9 instances, most callers at one of them", 9, 8.6, 60, 0.8, "/draft/1", "e0" },
        { "9 instances, a plain service", 9, 8.6, 60, 0, "/look/1", "p0" },
        { "60 instances", 60, 9.9, 200, 0, "/draft/1", "e0" },
        { "295 instances", 295, 9.9, 500, 0, "/draft/1", "e0" },
        { "295 instances, callers at one of them", 295, 9.9, 60, 1, "/draft/1", "e0" },
        { "295 instances, a high limit", 295, 100, 500, 0, "/draft/1", "e0" },
    };
    for (const auto& each : cases) {
        LimitFleet::Options options;
        options.instances = each.instances;
        options.callsPerSecond = each.callsPerSecond;
        options.shareOfFirstInstance = each.shareOfFirstInstance;
        options.firstStages = 1;
        options.plainServers = 1;
        options.path = each.path;
        LimitFleet fleet(options);
        fleet.run(seconds(1));
        fleet.setLimit(each.server, each.limitPerSecond);
        const TimePoint named = fleet.now();
        fleet.run(SettlingTime);
        const TimePoint settled = fleet.now();
        const std::uint64_t requestsBefore = fleet.permitRequests();
        fleet.run(seconds(10));
        checkPeak(fleet, each.server, each.limitPerSecond, named, each.name);
        const double used = static_cast<double>(fleet.arrivalsSince(each.server, settled)) / 10 / each.limitPerSecond;
        CHECK_TRUE_TEXT(used >= 0.8, (std::string(each.name) + ": used " + std::to_string(used)).c_str());
        const double waited = std::chrono::duration<double>(fleet.meanWaitForRefusal()).count();
        CHECK_TRUE_TEXT(waited < 0.06, (std::string(each.name) + ": waited " + std::to_string(waited)).c_str());
        const auto requests = static_cast<double>(fleet.permitRequests() - requestsBefore) / 10;
        CHECK_TRUE_TEXT(requests <= 8 * each.limitPerSecond + 20,
            (std::string(each.name) + ": requests " + std::to_string(requests)).c_str());
    }
}

// Each kind of attempt takes from the same limit, and none of the instances' troubles raises the sum.
TEST(ServerLimit, TheSumHoldsUnderFailures)
{
    const struct {
        const char* name;
        std::size_t instances;
        double rejectionRate;
        double breakRate;
        double messageLossRate;
        bool restartsCoordinator;
        bool losesList;
    } cases[] = {
        { "servers reject attempts", 9, 0.4, 0, 0, false, false },
        { "answers break off and are resumed", 9, 0, 0.5, 0, false, false },
        { "messages are lost", 9, 0, 0, 0.2, false, false },
        { "the coordinator restarts", 9, 0, 0, 0, true, false },
        { "the instances' entries are lost", 9, 0, 0, 0, false, true },
        { "all at once", 9, 0.2, 0.2, 0.1, true, true },
        { "60 instances, the coordinator restarts", 60, 0, 0, 0, true, false },
        { "60 instances, the instances' entries are lost", 60, 0, 0, 0, false, true },
        { "60 instances, all at once", 60, 0.2, 0.2, 0.1, true, true },
        { "295 instances, all at once", 295, 0.2, 0.2, 0.1, true, true },
    };
    for (const auto& each : cases) {
        LimitFleet::Options options;
        options.instances = each.instances;
        options.callsPerSecond = 200;
        options.rejectionRate = each.rejectionRate;
        options.breakRate = each.breakRate;
        options.messageLossRate = each.messageLossRate;
        options.firstStages = 1;
        LimitFleet fleet(options);
        fleet.run(seconds(1));
        fleet.setLimit("e0", 9.9);
        const TimePoint named = fleet.now();
        fleet.run(seconds(5));
        if (each.restartsCoordinator)
            fleet.restartInstance(fleet.coordinatorOf("e0"), milliseconds(700));
        fleet.run(seconds(4));
        if (each.restartsCoordinator)
            fleet.restartInstance(fleet.coordinatorOf("e0"), seconds(4));
        if (each.losesList)
            fleet.loseInstanceList(milliseconds(1500));
        fleet.run(seconds(8));
        checkPeak(fleet, "e0", 9.9, named, each.name);
    }
}

namespace {

std::uint64_t keyOf(const char* id) { return engineKey(BackendId(id)); }

/// Lets engines "a" and "c", at which streams begin, name a limit.
void limitFirstStages(RelayHarness& harness)
{
    for (const char* id : { "a", "c" })
        harness.send(relay::event::ServerLimitReported { keyOf(id), { 10, harness.now() } });
}

/// Advances the clock and counts the attempts that start meanwhile. Permit requests stay unanswered.
std::size_t attemptsDuring(RelayHarness& harness, Duration span)
{
    std::size_t attempts = harness.last<relay::effect::StartAttempt>() ? 1 : 0;
    for (Duration passed {}; passed < span; passed += milliseconds(20)) {
        harness.tick(milliseconds(20));
        attempts += harness.last<relay::effect::StartAttempt>() ? 1 : 0;
    }
    return attempts;
}

} // namespace

// An attempt that did not take a permit would let the sum exceed the limit, whatever its purpose is.
TEST(ServerLimit, NoAttemptStartsWithoutAPermit)
{
    const struct {
        const char* name;
        std::uint64_t events; ///< delivered before the trouble
        std::function<void(RelayHarness&, const relay::effect::StartAttempt&)> trouble;
    } cases[] = {
        { "a new call", 0,
            [](RelayHarness& harness, const relay::effect::StartAttempt&) { harness.call("/draft/2"); } },
        { "a retry", 0,
            [](RelayHarness& harness, const relay::effect::StartAttempt& start) {
                harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, "" });
            } },
        { "a retry after a failed connection", 0,
            [](RelayHarness& harness, const relay::effect::StartAttempt& start) {
                harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::ConnectFailed, 0, "" });
            } },
        { "a resumed answer", 5,
            [](RelayHarness& harness, const relay::effect::StartAttempt& start) {
                harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::Broken, 200, "" });
            } },
        { "a second attempt at a stalled call", 0, [](RelayHarness&, const relay::effect::StartAttempt&) {} },
        { "a second attempt at a stalled answer", 5, [](RelayHarness&, const relay::effect::StartAttempt&) {} },
        { "an answer of a leaving server", 5,
            [](RelayHarness& harness, const relay::effect::StartAttempt& start) {
                RegisteredServer server = RelayHarness::engine(start.server.value(), 0, 4);
                server.leaving = true;
                harness.send(relay::event::ServerRegistered { server });
            } },
        { "a restarted first stage", 5,
            [](RelayHarness& harness, const relay::effect::StartAttempt& start) {
                const char* other = start.server == BackendId("a") ? "c" : "a";
                RegisteredServer server = RelayHarness::engine(start.server.value(), 0, 4);
                server.startedAt = StartTime(5);
                harness.send(relay::event::ServerRegistered { server });
                harness.send(relay::event::ServerLimitReported {
                    engineKey(server.id, server.startedAt), { 10, harness.now() } });
                CHECK_TRUE(harness.reducer().fleet().servers().at(BackendId(other)).limit.isNamed());
            } },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        const auto start = harness.running("/draft/1", each.events);
        limitFirstStages(harness);
        each.trouble(harness, start);
        CHECK_EQUAL_TEXT(0U, attemptsDuring(harness, milliseconds(1500)), each.name);
    }
}

TEST(ServerLimit, AWaitingCallStartsWhenAPermitArrives)
{
    const struct {
        const char* name;
        std::uint32_t granted;
        bool starts;
    } cases[] = { { "granted", 1, true }, { "denied", 0, false } };
    for (const auto& each : cases) {
        RelayHarness harness;
        limitFirstStages(harness);
        harness.call("/draft/1");
        const auto request = harness.last<relay::effect::RequestPermits>();
        CHECK_TRUE_TEXT(request.has_value(), each.name);
        CHECK_FALSE_TEXT(harness.last<relay::effect::StartAttempt>().has_value(), each.name);
        harness.send(relay::event::PermitsAnswered { { request->request.server, request->request.number, each.granted,
            each.granted ? Duration(0) : seconds(2), request->request.limit } });
        CHECK_EQUAL_TEXT(each.starts, harness.last<relay::effect::StartAttempt>().has_value(), each.name);
    }
}

// A call that no permit can reach in time is refused when that is known, not at the end of its wait.
TEST(ServerLimit, ACallBeyondTheLimitsIsRefusedWhenTheLastDenialArrives)
{
    RelayHarness harness;
    limitFirstStages(harness);
    harness.call("/draft/1");
    std::vector<PermitRequest> requests;
    for (const RelayEffect& effect : harness.effects()) {
        if (const auto* request = std::get_if<relay::effect::RequestPermits>(&effect))
            requests.push_back(request->request);
    }
    CHECK_EQUAL(2U, requests.size());
    const auto deny = [&](const PermitRequest& request) {
        harness.send(
            relay::event::PermitsAnswered { { request.server, request.number, 0, seconds(2), request.limit } });
    };
    deny(requests[0]);
    CHECK_FALSE(harness.last<relay::effect::Refuse>().has_value());
    deny(requests[1]);
    const auto refusal = harness.last<relay::effect::Refuse>();
    CHECK_TRUE(refusal && refusal->reason == Reason::LimitReached && refusal->run == RunState::NotRun);
    CHECK_TRUE(refusal->retryAfter.count() > 0);
    // The next call is refused on arrival.
    harness.call("/draft/2");
    CHECK_TRUE(harness.last<relay::effect::Refuse>().has_value());
}

// Answers on different connections overtake each other.
TEST(ServerLimit, AnAnswerToAnEarlierAttemptDoesNotChangeTheLimit)
{
    const struct {
        const char* name;
        std::optional<double> early; ///< in the answer to the earlier attempt, which arrives last
        std::optional<double> late;
    } cases[] = {
        { "a limit that began", std::nullopt, 5 },
        { "a limit that ended", 5, std::nullopt },
        { "a limit that changed", 5, 8 },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        harness.send(relay::event::ServerUnregistered { BackendId("c") });
        const auto early = harness.running("/draft/1");
        harness.tick(milliseconds(20));
        const auto late = harness.running("/draft/2");
        harness.notice(late, { each.late, std::nullopt, false, true });
        harness.notice(early, { each.early, std::nullopt, false, true });
        CHECK_TRUE_TEXT(harness.reducer().fleet().servers().at(early.server).limit.perSecond == each.late, each.name);
    }
}

TEST(ServerLimit, ALimitEndsWithItsServerOrWithAnAnswerThatNamesNone)
{
    LimitFleet::Options options;
    options.firstStages = 1;
    LimitFleet fleet(options);
    fleet.run(seconds(1));
    fleet.setLimit("e0", 8.6);
    fleet.run(seconds(5));
    fleet.setLimit("e0", std::nullopt);
    fleet.run(seconds(2));
    const TimePoint ended = fleet.now();
    fleet.run(seconds(2));
    CHECK_TRUE(fleet.arrivalsSince("e0", ended) > 80);
    fleet.setLimit("e0", 8.6);
    fleet.run(seconds(5));
    fleet.restartServer("e0");
    const TimePoint restarted = fleet.now();
    fleet.run(seconds(2));
    CHECK_TRUE(fleet.arrivalsSince("e0", restarted) > 80);
}

TEST(ServerLimit, AChangedLimitIsKept)
{
    const struct {
        const char* name;
        std::size_t instances;
        double before;
        double after;
    } cases[] = { { "lowered", 9, 20, 5 }, { "raised", 9, 5, 20 }, { "to nothing", 9, 20, 0 },
        { "lowered, 60 instances", 60, 40, 8 }, { "lowered, 295 instances", 295, 40, 8 } };
    for (const auto& each : cases) {
        LimitFleet::Options options;
        options.instances = each.instances;
        options.callsPerSecond = 200;
        options.firstStages = 1;
        LimitFleet fleet(options);
        fleet.run(seconds(1));
        fleet.setLimit("e0", each.before);
        fleet.run(seconds(6));
        fleet.setLimit("e0", each.after);
        const TimePoint changed = fleet.now();
        fleet.run(seconds(12));
        checkPeak(fleet, "e0", each.after, changed, each.name);
    }
}

// Limits that begin, change and end, servers and instances that restart, lost messages and lost entries, in random
// order.
TEST(ServerLimit, TheSumHoldsInRandomSequencesOfChanges)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        LimitFleet::Options options;
        options.seed = seed;
        options.instances = seed % 10 ? 9 : 60;
        options.callsPerSecond = 150;
        options.firstStages = 1 + seed % 3;
        options.rejectionRate = seed % 2 ? 0.2 : 0;
        options.breakRate = seed % 5 ? 0 : 0.3;
        options.messageLossRate = seed % 4 ? 0 : 0.15;
        LimitFleet fleet(options);
        for (int step = 0; step < 20; ++step) {
            const double action = fleet.random();
            if (action < 0.45)
                fleet.setLimit("e0", 1 + 19 * fleet.random());
            else if (action < 0.55)
                fleet.setLimit("e0", std::nullopt);
            else if (action < 0.6)
                fleet.restartServer("e0");
            else if (action < 0.8)
                fleet.restartInstance(static_cast<std::size_t>(fleet.random() * 9), seconds(1));
            else if (action < 0.85)
                fleet.loseInstanceList(milliseconds(1500));
            fleet.run(milliseconds(static_cast<std::int64_t>(300 + 2500 * fleet.random())));
        }
        const double excess = fleet.worstExcess("e0", SettlingTime, Window);
        CHECK_TRUE_TEXT(excess <= 0, ("seed " + std::to_string(seed) + ": " + std::to_string(excess)).c_str());
    }
}
