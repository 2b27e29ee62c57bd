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
        CHECK_EQUAL_TEXT(0U, attemptsAt(harness, start.server, milliseconds(1500)), each.name);
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
