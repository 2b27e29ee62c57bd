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
