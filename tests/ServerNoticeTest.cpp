#include "tests/LimitFleet.h"
#include "tests/Tests.h"

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
