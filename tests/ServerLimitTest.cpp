#include "tests/LimitFleet.h"
#include "tests/Tests.h"

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
        const std::size_t peak = fleet.peakArrivals(each.server, named + SettlingTime, Window);
        CHECK_TRUE_TEXT(peak <= allowedRequests(each.limitPerSecond),
            (std::string(each.name) + ": " + std::to_string(peak)).c_str());
    }
}
