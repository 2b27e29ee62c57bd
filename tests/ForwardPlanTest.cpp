#include "edge/ForwardPlan.h"
#include "tests/Tests.h"

#include <deque>
#include <map>

using namespace crocusmount;

namespace {

/// @param silentInterval  every member whose index is a multiple of it is silent; 0: none
std::vector<ForwardMember> membersOf(std::size_t count, std::size_t silentInterval)
{
    std::vector<ForwardMember> members;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string id = std::to_string(10000 + i);
        members.push_back({ id, "at " + id, silentInterval && i % silentInterval == 0 });
    }
    return members;
}

/// Simulates the delivery of a datagram to all members, including forwarding.
struct Delivery {
    std::map<std::string, int> receiptCounts; ///< number of receipts of the datagram, by address
    std::size_t maxDatagramsSent = 0; ///< maximum number of datagrams sent by one instance
    std::size_t maxHops = 0; ///< maximum number of hops to a member

    Delivery(const std::vector<ForwardMember>& members, std::size_t fanOut)
    {
        struct Sender {
            std::vector<ForwardMember> receivers;
            std::size_t hops;
        };
        std::deque<Sender> senders { { members, 1 } };
        while (!senders.empty()) {
            const Sender sender = senders.front();
            senders.pop_front();
            const auto targets = planForward(sender.receivers, fanOut);
            maxDatagramsSent = std::max(maxDatagramsSent, targets.size());
            maxHops = std::max(maxHops, sender.hops);
            for (const ForwardTarget& target : targets) {
                ++receiptCounts[target.address];
                std::vector<ForwardMember> rest;
                for (const ForwardMember& member : sender.receivers) {
                    CHECK_FALSE(member.isSilent && member.address == target.address && !target.forwardUntil.empty());
                    if ("at " + member.id > target.address && member.id <= target.forwardUntil)
                        rest.push_back(member);
                }
                if (!rest.empty())
                    senders.push_back({ rest, sender.hops + 1 });
            }
        }
    }
};

} // namespace

TEST_GROUP(ForwardPlan) {};

// Guards against one instance saturating its link by sending each store change directly to all others of its data
// centre.
TEST(ForwardPlan, EachMemberIsReachedOnceWithBoundedFanOutAndHops)
{
    const struct {
        const char* name;
        std::size_t members;
        std::size_t silentInterval;
        std::size_t fanOut;
        std::size_t maxDatagramsSent;
        std::size_t maxHops;
    } cases[] = {
        { "no members", 0, 0, 4, 0, 1 },
        { "one member", 1, 0, 4, 1, 1 },
        { "all sent directly", 21, 0, 30, 21, 1 },
        { "99 members", 99, 0, 5, 5, 3 },
        { "99 members, fan-out 2", 99, 0, 2, 2, 6 },
        { "every third member silent", 99, 3, 5, 8, 4 },
        { "all silent", 12, 1, 3, 12, 1 },
        { "fan-out 0 treated as 1", 3, 0, 0, 1, 3 },
    };
    for (const auto& each : cases) {
        const Delivery delivery(membersOf(each.members, each.silentInterval), each.fanOut);
        CHECK_EQUAL_TEXT(each.members, delivery.receiptCounts.size(), each.name);
        for (const auto& [address, receiptCount] : delivery.receiptCounts)
            CHECK_EQUAL_TEXT(1, receiptCount, each.name);
        CHECK_TRUE_TEXT(delivery.maxDatagramsSent <= each.maxDatagramsSent, each.name);
        CHECK_TRUE_TEXT(delivery.maxHops <= each.maxHops, each.name);
    }
}
