#include "admission/FairQueue.h"
#include "tests/Tests.h"

using namespace crocusmount;

TEST_GROUP(FairQueue)
{
    FairQueue queue;

    /// Adds requests with consecutive ids.
    void fill(const char* workspace, std::uint32_t weight, int priority, std::uint64_t firstId, int count)
    {
        for (int i = 0; i < count; ++i)
            queue.push(
                WorkspaceId(workspace), weight, priority, { RequestId(firstId + static_cast<std::uint64_t>(i)), 1 });
    }
};

TEST(FairQueue, HigherPriorityGoesFirstAndWorkspacesShareByWeight)
{
    fill("large", 3, 0, 100, 40);
    fill("small", 1, 0, 200, 40);
    fill("small", 1, 5, 300, 1);
    CHECK_EQUAL(300U, queue.pop()->value());
    int large = 0;
    for (int i = 0; i < 20; ++i)
        large += queue.pop()->value() < 200 ? 1 : 0;
    CHECK_EQUAL(15, large);
}

TEST(FairQueue, ANewWorkspaceDoesNotWaitForTheBacklogOfAnother)
{
    fill("large", 1, 0, 100, 50);
    for (int i = 0; i < 10; ++i)
        queue.pop();
    fill("small", 1, 0, 200, 1);
    const bool isServedSoon = queue.pop()->value() == 200 || queue.pop()->value() == 200;
    CHECK_TRUE(isServedSoon);
}

TEST(FairQueue, ErasedRequestsAreNotServed)
{
    fill("a", 1, 0, 1, 3);
    CHECK_TRUE(queue.erase(RequestId(2)));
    CHECK_FALSE(queue.erase(RequestId(2)));
    CHECK_EQUAL(1U, queue.pop()->value());
    CHECK_EQUAL(3U, queue.pop()->value());
    CHECK_FALSE(queue.pop().has_value());
    CHECK_TRUE(queue.empty());
}

TEST(FairQueue, ARequestThatIsPassedOverKeepsItsPlaceAndIsNotCharged)
{
    queue.push(WorkspaceId("a"), 1, 0, { RequestId(1), 10 });
    queue.push(WorkspaceId("a"), 1, 0, { RequestId(2), 1 });
    queue.push(WorkspaceId("b"), 1, 0, { RequestId(3), 5 });
    queue.push(WorkspaceId("b"), 1, -1, { RequestId(4), 1 });
    absl::flat_hash_set<RequestId> passedOver;
    std::vector<std::uint64_t> order;
    while (const auto next = queue.next(passedOver)) {
        order.push_back(next->value());
        passedOver.insert(*next);
    }
    CHECK_TRUE((order == std::vector<std::uint64_t> { 1, 2, 3, 4 }));
    CHECK_EQUAL(4U, queue.size());
    // Serving the second request of "a" charges it alone.
    CHECK_TRUE(queue.serve(RequestId(2)));
    CHECK_FALSE(queue.serve(RequestId(2)));
    CHECK_EQUAL(3U, queue.next({})->value());
    CHECK_TRUE(queue.serve(RequestId(3)));
    CHECK_EQUAL(1U, queue.next({})->value());
    CHECK_EQUAL(1U, queue.pop()->value());
}

TEST(FairQueue, APreferredRequestGoesBeforeTheOthersOfItsWorkspaceAndPriority)
{
    fill("a", 1, 0, 1, 2);
    queue.push(WorkspaceId("a"), 1, 0, { RequestId(10), 1, true });
    queue.push(WorkspaceId("a"), 1, 0, { RequestId(11), 1, true });
    fill("b", 1, 1, 20, 1);
    const std::vector<RequestId> expected { RequestId(20), RequestId(10), RequestId(11), RequestId(1), RequestId(2) };
    CHECK_TRUE(queue.order() == expected);
    CHECK_EQUAL(2U, *queue.positionOf(RequestId(11)));
    CHECK_FALSE(queue.positionOf(RequestId(99)).has_value());
    CHECK_EQUAL(5U, queue.size());
}
