#include "tests/LimitFleet.h"
#include "tests/Tests.h"

#include <functional>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ServerNotice) {};

namespace {

/// Requests that may reach a server while it wants none, from half a second after its rejection on.
constexpr std::size_t AllowedDuringBackoff = 2;
/// Time from the first answer that says that its server leaves until no request may reach the server.
constexpr Duration LeavingBound = seconds(3);

void checkAtMost(std::size_t bound, std::size_t value, const char* name)
{
    CHECK_TRUE_TEXT(value <= bound, (std::string(name) + ": " + std::to_string(value)).c_str());
}

constexpr ServerNotice Leaving { std::nullopt, std::nullopt, true, true };

/// Advances the clock and counts the attempts at a server that start meanwhile.
std::size_t attemptsAt(RelayHarness& harness, const BackendId& server, Duration span)
{
    std::size_t attempts = 0;
    const auto count = [&] {
        for (const RelayEffect& effect : harness.effects()) {
            const auto* start = std::get_if<relay::effect::StartAttempt>(&effect);
            attempts += start && start->server == server ? 1 : 0;
        }
    };
    for (Duration passed {}; passed < span; passed += milliseconds(20)) {
        count();
        harness.tick(milliseconds(20));
    }
    count();
    return attempts;
}

RegisteredServer entryOf(const BackendId& id)
{
    return id == BackendId("x") || id == BackendId("y") ? RelayHarness::plain(id.value())
                                                        : RelayHarness::engine(id.value(), 0, 4);
}

} // namespace

// A server that had asked an instance to send it nothing for three seconds got three requests from it.
TEST(ServerNotice, AServerIsLeftAloneForTheTimeThatItAsksFor)
{
    const struct {
        const char* name;
        std::size_t instances;
        double callsPerSecond;
        double shareOfFirstInstance;
        Duration maxConnectTime;
        std::size_t servers; ///< at which calls can begin
        const char* path;
        const char* server;
    } cases[] = {
        { "9 instances", 9, 60, 0, {}, 2, "/draft/1", "e0" },
        { "9 instances, callers at one of them", 9, 60, 1, {}, 2, "/draft/1", "e0" },
        { "9 instances, slow connections", 9, 60, 1, milliseconds(1000), 2, "/draft/1", "e0" },
        { "9 instances, no other server", 9, 60, 0, {}, 1, "/draft/1", "e0" },
        { "9 instances, a plain service", 9, 60, 0, {}, 2, "/look/1", "p0" },
        { "9 instances, a plain service without another server", 9, 60, 0, {}, 1, "/look/1", "p0" },
        { "9 instances, a plain service, slow connections", 9, 60, 1, milliseconds(1000), 2, "/look/1", "p0" },
        { "60 instances", 60, 200, 0, {}, 2, "/draft/1", "e0" },
        { "60 instances, no other server", 60, 200, 0, {}, 1, "/draft/1", "e0" },
        { "295 instances", 295, 500, 0, {}, 2, "/draft/1", "e0" },
        { "295 instances, no other server", 295, 500, 0, {}, 1, "/look/1", "p0" },
    };
    for (const auto& each : cases) {
        LimitFleet::Options options;
        options.instances = each.instances;
        options.callsPerSecond = each.callsPerSecond;
        options.shareOfFirstInstance = each.shareOfFirstInstance;
        options.maxConnectTime = each.maxConnectTime;
        options.firstStages = each.servers;
        options.plainServers = each.servers;
        options.path = each.path;
        LimitFleet fleet(options);
        fleet.run(seconds(1));
        fleet.setCapacity(each.server, 8, seconds(3));
        fleet.run(seconds(15));
        CHECK_TRUE_TEXT(fleet.rejectedSince(each.server, {}) > 0, each.name);
        checkAtMost(AllowedDuringBackoff, fleet.mostDuringBackoff(each.server), each.name);
    }
}

// A server whose answers say that it leaves, while its entry does not show it, got new calls until its entry ended.
TEST(ServerNotice, AServerThatSaysThatItLeavesGetsNoNewCalls)
{
    const struct {
        const char* name;
        std::size_t instances;
        double callsPerSecond;
        bool rereadsEntry; ///< whether the entry, which is outdated, is read again
        bool losesEntry; ///< whether the entry is missing for a moment
        const char* path;
        const char* server;
    } cases[] = {
        { "9 instances", 9, 60, false, false, "/draft/1", "e0" },
        { "9 instances, the entry is read again", 9, 60, true, false, "/draft/1", "e0" },
        { "9 instances, the entry is missing for a moment", 9, 60, true, true, "/draft/1", "e0" },
        { "9 instances, a plain service", 9, 60, true, true, "/look/1", "p0" },
        { "60 instances", 60, 200, true, true, "/draft/1", "e0" },
        { "295 instances", 295, 500, true, true, "/draft/1", "e0" },
    };
    for (const auto& each : cases) {
        LimitFleet::Options options;
        options.instances = each.instances;
        options.callsPerSecond = each.callsPerSecond;
        options.path = each.path;
        LimitFleet fleet(options);
        fleet.run(seconds(1));
        fleet.announceLeaving(each.server);
        fleet.run(seconds(2));
        if (each.rereadsEntry)
            fleet.rereadEntry(each.server, each.losesEntry);
        fleet.run(seconds(6));
        checkAtMost(0, fleet.arrivalsAfterLeaving(each.server, LeavingBound), each.name);
    }
}

// The entry of a leaving server may be outdated, or it may return after it was missing.
TEST(ServerNotice, NoAttemptStartsAtAServerThatSaidThatItLeaves)
{
    using Start = relay::effect::StartAttempt;
    const struct {
        const char* name;
        const char* path;
        std::uint64_t events; ///< delivered before the notice
        std::function<void(RelayHarness&, const Start&)> afterwards;
    } cases[] = {
        { "a new call", "/draft/1", 1, [](RelayHarness& harness, const Start&) { harness.call("/draft/2"); } },
        { "a new call to a plain service", "/look/1", 0,
            [](RelayHarness& harness, const Start&) { harness.call("/look/2"); } },
        { "a rejected call", "/draft/1", 0,
            [](RelayHarness& harness, const Start& start) {
                harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, "" });
            } },
        { "an answer that breaks off", "/draft/1", 5,
            [](RelayHarness& harness, const Start& start) {
                harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::Broken, 200, "" });
            } },
        { "a stalled answer", "/draft/1", 5, [](RelayHarness&, const Start&) {} },
        { "the entry is read again", "/draft/1", 1,
            [](RelayHarness& harness, const Start& start) {
                harness.send(relay::event::ServerRegistered { entryOf(start.server) });
                harness.call("/draft/2");
            } },
        { "the entry is missing for a moment", "/draft/1", 1,
            [](RelayHarness& harness, const Start& start) {
                harness.send(relay::event::ServerUnregistered { start.server });
                harness.send(relay::event::ServerRegistered { entryOf(start.server) });
                harness.call("/draft/2");
            } },
        { "another server takes its address for a moment", "/draft/1", 1,
            [](RelayHarness& harness, const Start& start) {
                RegisteredServer successor = entryOf(start.server);
                successor.id = BackendId("e");
                harness.send(relay::event::ServerRegistered { successor });
                harness.send(relay::event::ServerUnregistered { successor.id });
                harness.call("/draft/2");
            } },
        { "the configuration lacks the service for a moment", "/look/1", 0,
            [](RelayHarness& harness, const Start& start) {
                RegisteredServer unusable = entryOf(start.server);
                unusable.service = ServiceId("other");
                harness.send(relay::event::ServerRegistered { unusable });
                harness.send(relay::event::ServerRegistered { entryOf(start.server) });
                harness.call("/look/2");
            } },
    };
    for (const auto& each : cases) {
        // The notice is all that keeps the calls away, since no other server is left.
        RelayHarness harness;
        const Start start = harness.running(each.path, each.events);
        for (const char* other : { "a", "c", "x", "y" }) {
            if (BackendId(other) != start.server)
                harness.send(relay::event::ServerUnregistered { BackendId(other) });
        }
        harness.notice(start, Leaving);
        each.afterwards(harness, start);
        const std::size_t attempts = attemptsAt(harness, start.server, milliseconds(1500));
        CHECK_EQUAL_TEXT(0U, attempts, each.name);
    }
}

TEST(ServerNotice, ANewStartOfALeavingServerGetsCalls)
{
    const struct {
        const char* name;
        std::function<void(RelayHarness&, RegisteredServer)> restart;
    } cases[] = {
        { "its entry shows it",
            [](RelayHarness& harness, RegisteredServer entry) {
                entry.startedAt = StartTime(5);
                harness.send(relay::event::ServerRegistered { entry });
            } },
        { "a check shows it",
            [](RelayHarness& harness, const RegisteredServer& entry) {
                harness.send(relay::event::EngineChecked { entry.id, true, 1, false, {}, StartTime(5), { 0, 4 } });
            } },
        { "it has another id",
            [](RelayHarness& harness, RegisteredServer entry) {
                entry.id = BackendId("e");
                harness.send(relay::event::ServerRegistered { entry });
            } },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        harness.send(relay::event::ServerUnregistered { BackendId("c") });
        const auto start = harness.running("/draft/1", 1);
        harness.notice(start, Leaving);
        harness.call("/draft/2");
        CHECK_FALSE_TEXT(harness.last<relay::effect::StartAttempt>().has_value(), each.name);
        each.restart(harness, entryOf(start.server));
        harness.call("/draft/3");
        harness.tick(milliseconds(20));
        CHECK_TRUE_TEXT(harness.reducer().counters().attempts > 1, each.name);
        // An answer of the start before is no word of this one.
        harness.notice(start, Leaving);
        CHECK_EQUAL_TEXT(1U, harness.reducer().counters().leavesAnnounced, each.name);
    }
}

// Streams at a server that leaves move off as they do if its entry says so.
TEST(ServerNotice, StreamsMoveOffAStageThatSaysThatItLeaves)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1", 2);
    const BackendId last = start.chain.hops().back().backend;
    harness.send(relay::event::ServerNoticeSeen { last, {}, harness.now(), Leaving });
    harness.events(start.attempt, 3, 60);
    harness.tick(milliseconds(200));
    const auto order = harness.last<relay::effect::RerouteAttempt>();
    CHECK_TRUE(order.has_value());
    CHECK_FALSE(order->chain.contains(last));
}

// What a server had asked for was forgotten when its entry was missing for a moment, or another one took its address.
TEST(ServerNotice, ALimitAndABackoffOutliveAMissingEntry)
{
    const struct {
        const char* name;
        ServerNotice notice;
        bool hasSuccessor; ///< whether another server takes the address meanwhile
    } cases[] = {
        { "a limit", { 0, std::nullopt, false, true }, false },
        { "a backoff", { std::nullopt, seconds(60) }, false },
        { "a limit, and a successor", { 0, std::nullopt, false, true }, true },
        { "a backoff, and a successor", { std::nullopt, seconds(60) }, true },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        harness.send(relay::event::ServerUnregistered { BackendId("y") });
        const auto start = harness.running("/look/1");
        harness.notice(start, each.notice);
        if (each.hasSuccessor) {
            RegisteredServer successor = entryOf(start.server);
            successor.id = BackendId("z");
            harness.send(relay::event::ServerRegistered { successor });
            harness.send(relay::event::ServerUnregistered { successor.id });
        } else {
            harness.send(relay::event::ServerUnregistered { start.server });
            harness.send(relay::event::ServerRegistered { entryOf(start.server) });
        }
        CHECK_EQUAL_TEXT(1U, harness.reducer().fleet().servers().count(start.server), each.name);
        harness.call("/look/2");
        const std::size_t attempts = attemptsAt(harness, start.server, milliseconds(1500));
        CHECK_EQUAL_TEXT(0U, attempts, each.name);
    }
}

// Calls waited for half of their objective for servers that would not take them in that time.
TEST(ServerNotice, WhatNoServerWillTakeInTimeIsRefusedAtOnce)
{
    const struct {
        const char* name;
        const char* path;
        Duration first; ///< backoff of one server
        Duration second; ///< of the other one at which calls can begin
        bool isRefused;
    } cases[] = {
        { "a plain service", "/look/1", seconds(3), seconds(5), true },
        { "engines", "/draft/1", seconds(5), seconds(3), true },
        { "one ends in time", "/draft/1", milliseconds(100), seconds(3), false },
        { "one server takes calls", "/look/1", {}, seconds(3), false },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        const bool isPlain = std::string(each.path) == "/look/1";
        const BackendId ids[] = { BackendId(isPlain ? "x" : "a"), BackendId(isPlain ? "y" : "c") };
        for (const auto& [id, backoff] : { std::pair(ids[0], each.first), std::pair(ids[1], each.second) }) {
            harness.send(relay::event::ServerNoticeSeen { id, {}, harness.now(), { std::nullopt, backoff } });
        }
        harness.call(each.path);
        const auto refusal = harness.last<relay::effect::Refuse>();
        CHECK_TRUE_TEXT(refusal.has_value() == each.isRefused, each.name);
        if (!refusal)
            continue;
        CHECK_TRUE_TEXT(refusal->reason == Reason::ServersInBackoff && refusal->run == RunState::NotRun, each.name);
        const Duration earliest = std::min(each.first, each.second);
        CHECK_TRUE_TEXT(refusal->retryAfter >= earliest && refusal->retryAfter <= 2.5 * earliest, each.name);
    }
}

// A waiting call is refused when the last server at which it could begin asks for a longer backoff.
TEST(ServerNotice, AWaitingCallIsRefusedWhenTheLastServerWantsNone)
{
    RelayHarness harness;
    harness.send(relay::event::ServerUnregistered { BackendId("c") });
    const auto first = harness.running("/draft/1");
    harness.notice(first, { std::nullopt, milliseconds(100) });
    harness.call("/draft/2");
    CHECK_EQUAL(1U, harness.reducer().waitingCalls());
    harness.notice(first, { std::nullopt, seconds(3) });
    harness.tick(milliseconds(20));
    const auto refusal = harness.last<relay::effect::Refuse>();
    CHECK_TRUE(refusal && refusal->reason == Reason::ServersInBackoff);
    CHECK_EQUAL(0U, harness.reducer().waitingCalls());
}

// Checks, probes and questions reached servers that wanted no requests.
TEST(ServerNotice, NothingElseIsSentToAServerDuringItsBackoff)
{
    using Start = relay::effect::StartAttempt;
    const struct {
        const char* name;
        const char* path;
        std::uint64_t events;
        std::function<void(RelayHarness&, const Start&)> trouble;
    } cases[] = {
        { "a silent stream", "/draft/1", 5, [](RelayHarness&, const Start&) {} },
        { "a silent call", "/draft/1", 0, [](RelayHarness&, const Start&) {} },
        { "a failed connection", "/draft/1", 0,
            [](RelayHarness& harness, const Start& start) {
                harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::ConnectFailed, 0, "" });
            } },
        { "a rejection", "/draft/1", 0,
            [](RelayHarness& harness, const Start& start) {
                harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, "" });
            } },
        { "an answer that breaks off", "/look/1", 0,
            [](RelayHarness& harness, const Start& start) {
                harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::Broken, 200, "" });
            } },
        { "a report that it is dead", "/draft/1", 0,
            [](RelayHarness& harness, const Start& start) {
                harness.send(relay::event::EnginesReportedDead { { engineKey(start.server) } });
            } },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        const Start start = harness.running(each.path, each.events);
        harness.notice(start, { std::nullopt, seconds(10) });
        each.trouble(harness, start);
        for (int i = 0; i < 150; ++i) {
            for (const RelayEffect& effect : harness.effects()) {
                const auto* check = std::get_if<relay::effect::CheckEngine>(&effect);
                const auto* probe = std::get_if<relay::effect::ProbeServer>(&effect);
                const auto* question = std::get_if<relay::effect::AskStalledStage>(&effect);
                const auto* order = std::get_if<relay::effect::RerouteAttempt>(&effect);
                CHECK_FALSE_TEXT(check && check->engine == start.server, each.name);
                CHECK_FALSE_TEXT(probe && probe->server == start.server, each.name);
                CHECK_FALSE_TEXT(question && question->server == start.server, each.name);
                CHECK_FALSE_TEXT(order && order->chain.hops().front().backend == start.server, each.name);
            }
            harness.tick(milliseconds(20));
        }
    }
}

// A refused check keeps calls from an engine until it answers one, so a backoff must not end the checks.
TEST(ServerNotice, AnEngineThatRefusedACheckIsCheckedAfterItsBackoff)
{
    RelayHarness harness;
    const BackendId engine("a");
    harness.send(relay::event::EngineChecked { engine, false, 1, true });
    harness.send(relay::event::ServerNoticeSeen { engine, {}, harness.now(), { std::nullopt, seconds(2) } });
    std::size_t checks = 0;
    for (int i = 0; i < 250; ++i) {
        harness.tick(milliseconds(20));
        const auto check = harness.last<relay::effect::CheckEngine>();
        checks += check && check->engine == engine ? 1 : 0;
    }
    CHECK_TRUE(checks > 0);
}

// Instances that were rejected in the same moment came back in the same moment.
TEST(ServerNotice, CallsReturnToAServerWithoutARush)
{
    const struct {
        const char* name;
        std::size_t instances;
        double callsPerSecond;
        double capacity; ///< of the only server, in requests a second
        const char* path;
        const char* server;
    } cases[] = {
        { "9 instances", 9, 60, 40, "/draft/1", "e0" },
        { "9 instances, a plain service", 9, 60, 40, "/look/1", "p0" },
        { "60 instances", 60, 200, 130, "/draft/1", "e0" },
        { "295 instances", 295, 500, 330, "/draft/1", "e0" },
        { "295 instances, a plain service", 295, 500, 330, "/look/1", "p0" },
    };
    for (const auto& each : cases) {
        LimitFleet::Options options;
        options.instances = each.instances;
        options.callsPerSecond = each.callsPerSecond;
        options.firstStages = 1;
        options.plainServers = 1;
        options.path = each.path;
        LimitFleet fleet(options);
        fleet.run(seconds(1));
        // The server rejects everything for a second, then it is as it was.
        fleet.setCapacity(each.server, 0.001, seconds(3));
        fleet.run(seconds(1));
        fleet.setCapacity(each.server, 0, seconds(3));
        const TimePoint healthy = fleet.now();
        fleet.run(seconds(12));
        const double demand = each.callsPerSecond / 10;
        const std::size_t peak = fleet.peakArrivals(each.server, healthy, milliseconds(100));
        checkAtMost(static_cast<std::size_t>(3 * demand), peak, each.name);
        const auto returned = static_cast<double>(fleet.arrivalsSince(each.server, healthy + seconds(6))) / 6;
        CHECK_TRUE_TEXT(returned >= 0.8 * each.callsPerSecond, each.name);
        // A server that takes less than the callers want.
        LimitFleet overloaded(options);
        overloaded.run(seconds(1));
        overloaded.setCapacity(each.server, each.capacity, seconds(1));
        overloaded.run(seconds(5));
        const TimePoint settled = overloaded.now();
        overloaded.run(seconds(20));
        const auto accepted = static_cast<double>(overloaded.acceptedSince(each.server, settled)) / 20;
        CHECK_TRUE_TEXT(accepted >= 0.8 * each.capacity, each.name);
        checkAtMost(AllowedDuringBackoff, overloaded.mostDuringBackoff(each.server), each.name);
        CHECK_TRUE_TEXT(overloaded.meanWaitForRefusal() < milliseconds(60), each.name);
    }
}

// Servers that reject everything and ask for a backoff used up the retries of all callers.
TEST(ServerNotice, ARejectionThatNoOtherServerCanAnswerUsesNoRetry)
{
    const struct {
        const char* name;
        const char* path;
    } cases[] = { { "a stream", "/draft/1" }, { "a plain service", "/look/1" } };
    for (const auto& each : cases) {
        RelayHarness harness;
        for (const char* other : { "c", "y" })
            harness.send(relay::event::ServerUnregistered { BackendId(other) });
        const auto start = harness.running(each.path);
        harness.notice(start, { std::nullopt, seconds(3) });
        harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, "" });
        const auto refusal = harness.last<relay::effect::Refuse>();
        CHECK_TRUE_TEXT(refusal && refusal->reason == Reason::ServersInBackoff, each.name);
        CHECK_TRUE_TEXT(refusal->run == RunState::NotRun && refusal->retryAfter >= seconds(3), each.name);
        std::uint64_t retries = 0;
        for (const std::uint64_t count : harness.reducer().counters().retried)
            retries += count;
        CHECK_EQUAL_TEXT(0U, retries, each.name);
    }
}

// Permits that expire unused would be missing at the other instances.
TEST(ServerNotice, NoPermitsAreRequestedForAServerDuringItsBackoff)
{
    const struct {
        const char* name;
        std::optional<Duration> backoff;
        bool requests;
    } cases[] = { { "a limit", std::nullopt, true }, { "a limit and a backoff", seconds(3), false } };
    for (const auto& each : cases) {
        RelayHarness harness;
        harness.send(relay::event::ServerUnregistered { BackendId("c") });
        harness.send(
            relay::event::ServerNoticeSeen { BackendId("a"), {}, harness.now(), { 5, each.backoff, false, true } });
        harness.call("/draft/1");
        const auto request = harness.last<relay::effect::RequestPermits>();
        CHECK_EQUAL_TEXT(each.requests, request && request->request.count > 0, each.name);
    }
}

// Backoffs and leaves that begin at any time, entries that are read again or missing, servers and instances that
// restart, slow connections and lost messages, in random sequences.
TEST(ServerNotice, ServersAreLeftAloneInRandomSequencesOfChanges)
{
    const char* const servers[] = { "e0", "e1", "p0", "p1" };
    std::size_t rejections = 0;
    std::size_t toldOfLeaving = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        LimitFleet::Options options;
        options.seed = seed;
        options.instances = seed % 10 ? 9 : 60;
        options.callsPerSecond = 100;
        options.path = seed % 2 ? "/draft/1" : "/look/1";
        options.rejectionRate = seed % 3 ? 0 : 0.2;
        options.breakRate = seed % 5 ? 0 : 0.3;
        options.messageLossRate = seed % 4 ? 0 : 0.15;
        options.maxConnectTime = seed % 3 ? Duration(0) : milliseconds(400);
        LimitFleet fleet(options);
        for (int step = 0; step < 25; ++step) {
            const std::string server = servers[static_cast<std::size_t>(4 * fleet.random())];
            const double action = fleet.random();
            if (action < 0.35)
                fleet.setCapacity(server, 0.001 + 12 * fleet.random(),
                    milliseconds(200 + static_cast<std::int64_t>(4000 * fleet.random())));
            else if (action < 0.45)
                fleet.setLimit(server, 1 + 10 * fleet.random());
            else if (action < 0.6)
                fleet.announceLeaving(server);
            else if (action < 0.75)
                fleet.rereadEntry(server, fleet.random() < 0.7);
            else if (action < 0.85)
                fleet.restartServer(server);
            else
                fleet.restartInstance(static_cast<std::size_t>(fleet.random() * 9), seconds(1));
            fleet.run(milliseconds(static_cast<std::int64_t>(100 + 1500 * fleet.random())));
        }
        for (const char* server : servers) {
            const std::string name = "seed " + std::to_string(seed) + ", " + server;
            rejections += fleet.rejectedSince(server, {});
            toldOfLeaving += fleet.toldOfLeaving(server);
            checkAtMost(AllowedDuringBackoff, fleet.mostDuringBackoff(server), name.c_str());
            checkAtMost(0, fleet.arrivalsAfterLeaving(server, LeavingBound), name.c_str());
        }
    }
    CHECK_TRUE(rejections > 1000);
    CHECK_TRUE(toldOfLeaving > 20);
}

// Attempts that were still connecting reached a server after it had asked for a backoff.
TEST(ServerNotice, AttemptsThatAreStillConnectingStartElsewhere)
{
    const struct {
        const char* name;
        const char* path;
        bool isSent; ///< whether the second attempt has been sent
        bool hasOther; ///< whether another server takes calls
    } cases[] = {
        { "a stream", "/draft/1", false, true },
        { "a call that must not run twice", "/book/1", false, true },
        { "a stream without another server", "/draft/1", false, false },
        { "a stream that was sent", "/draft/1", true, true },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        const bool isPlain = std::string(each.path) == "/book/1";
        const BackendId other(isPlain ? "y" : "c");
        harness.send(relay::event::ServerUnregistered { other });
        const auto first = harness.running(each.path);
        harness.call(each.path);
        const auto connecting = harness.last<relay::effect::StartAttempt>();
        CHECK_TRUE_TEXT(connecting && connecting->server == first.server, each.name);
        if (each.isSent)
            harness.send(relay::event::AttemptSent { connecting->attempt });
        if (each.hasOther)
            harness.send(relay::event::ServerRegistered { isPlain ? RelayHarness::plain("y") : entryOf(other) });
        harness.notice(first, { std::nullopt, seconds(3) });
        const auto cancelled = harness.last<relay::effect::CancelAttempt>();
        const auto next = harness.last<relay::effect::StartAttempt>();
        CHECK_EQUAL_TEXT(!each.isSent, cancelled && cancelled->attempt == connecting->attempt, each.name);
        CHECK_EQUAL_TEXT(!each.isSent && each.hasOther, next && next->server == other, each.name);
        CHECK_EQUAL_TEXT(each.isSent ? 0U : 1U, harness.reducer().counters().attemptsWithdrawn, each.name);
        CHECK_EQUAL_TEXT(2U, harness.reducer().openCalls(), each.name);
    }
}
