#include "relay/LimitCoordinators.h"
#include "tests/Tests.h"

#include <set>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start = timePoint(1000000);

using Candidates = std::vector<LimitCoordinators::Candidate>;

Candidates instances(std::size_t count)
{
    Candidates made;
    for (std::size_t i = 0; i < count; ++i)
        made.push_back({ InstanceId("i" + std::to_string(i)), "10.0.0." + std::to_string(i), true });
    return made;
}

/// @return the position of a server's coordinator in the list
std::size_t positionOf(const Candidates& candidates, const LimitCoordinators& coordinators, std::uint64_t server)
{
    const auto id = coordinators.coordinatorOf(server);
    std::size_t position = 0;
    while (candidates.at(position).id != id)
        ++position;
    return position;
}

} // namespace

TEST_GROUP(LimitCoordinators) {};

TEST(LimitCoordinators, AllInstancesChooseTheSameAndServersAreSpread)
{
    const Candidates listed = instances(9);
    const Candidates otherOrder(listed.rbegin(), listed.rend());
    LimitCoordinators first;
    LimitCoordinators second;
    first.update(listed, Start);
    second.update(otherOrder, Start + seconds(7));
    std::set<InstanceId> chosen;
    for (std::uint64_t server = 0; server < 200; ++server) {
        CHECK_TRUE(first.coordinatorOf(server) == second.coordinatorOf(server));
        chosen.insert(*first.coordinatorOf(server));
    }
    CHECK_EQUAL(9U, chosen.size());
}

TEST(LimitCoordinators, AnInstanceCoordinatesUntilItIsKnownToBeGone)
{
    const struct {
        const char* name;
        bool isListed;
        bool wasAvailable; ///< when it was last listed
        bool hasRestarted; ///< another entry has its address
        Duration since; ///< its last listing
        bool isCoordinator;
    } cases[] = {
        { "still there", true, true, false, seconds(10), true },
        { "silent or leaving", true, false, false, seconds(10), false },
        { "its entry has just ended", false, true, false, seconds(1), true },
        { "its entry ended some time ago", false, true, false, seconds(4), false },
        { "its entry ended while it was silent", false, false, false, seconds(1), false },
        { "restarted", false, true, true, seconds(1), false },
    };
    for (const auto& each : cases) {
        Candidates listed = instances(9);
        LimitCoordinators coordinators;
        coordinators.update(listed, Start);
        const std::size_t position = positionOf(listed, coordinators, 42);
        const LimitCoordinators::Candidate coordinator = listed[position];
        listed[position].isAvailable = each.wasAvailable;
        coordinators.update(listed, Start);
        if (!each.isListed)
            listed.erase(listed.begin() + static_cast<std::ptrdiff_t>(position));
        if (each.hasRestarted)
            listed.push_back({ InstanceId("later"), coordinator.address, true });
        coordinators.update(listed, Start + each.since);
        CHECK_EQUAL_TEXT(each.isCoordinator, coordinators.coordinatorOf(42) == coordinator.id, each.name);
    }
}

TEST(LimitCoordinators, NoInstanceIsAvailable)
{
    LimitCoordinators coordinators;
    CHECK_FALSE(coordinators.coordinatorOf(1).has_value());
    Candidates listed = instances(1);
    listed[0].isAvailable = false;
    coordinators.update(listed, Start);
    CHECK_FALSE(coordinators.coordinatorOf(1).has_value());
}
