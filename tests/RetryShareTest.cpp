#include "relay/RetryShare.h"
#include "admission/RetryBudget.h"
#include "tests/Tests.h"

#include <string>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double Slack = 120;
constexpr Duration Window = seconds(10);

/// A share of an instance whose time advances in short steps.
class SteppedShare {
public:
    void listed(std::uint32_t instances, bool isListed = true) { m_share.instancesCounted(instances, isListed, m_now); }
    void copyOutdated(bool isOutdated) { m_share.storeCopyChecked(isOutdated); }
    void run(Duration span)
    {
        for (const TimePoint end = m_now + span; m_now < end; m_now += milliseconds(100))
            m_share.advance(m_now);
    }
    void standStill(Duration span)
    {
        m_now += span;
        m_share.advance(m_now);
    }
    const RetryShare& operator*() const { return m_share; }

private:
    RetryShare m_share { Slack, Window };
    TimePoint m_now = timePoint(1000000);
};

void checkShare(const SteppedShare& share, double capacity, bool isGranted, const char* when)
{
    DOUBLES_EQUAL_TEXT(capacity, (*share).capacity(), 1e-9, when);
    CHECK_EQUAL_TEXT(isGranted, (*share).isGranted(), when);
}

} // namespace

TEST_GROUP(RetryShare) {};

TEST(RetryShare, IsGrantedAWindowAfterTheInstanceIsListed)
{
    SteppedShare share;
    share.run(seconds(30));
    checkShare(share, 1, false, "never listed");
    share.listed(6);
    share.run(seconds(2));
    checkShare(share, 1, false, "the others may not be listed yet");
    share.run(seconds(1));
    checkShare(share, Slack / 6, false, "settled");
    share.run(seconds(8));
    checkShare(share, Slack / 6, false, "a predecessor's retries may be in the window");
    share.run(seconds(2));
    checkShare(share, Slack / 6, true, "granted");
}

TEST(RetryShare, LapsesWhenTheStoreNoLongerConfirmsTheEntry)
{
    const struct {
        const char* name;
        bool isOutdated; ///< the store is silent; otherwise the instance's entry is missing
        int seconds;
        bool isGranted;
    } cases[] = { { "silent for a short time", true, 19, true }, { "silent for long", true, 23, false },
        { "unlisted for a short time", false, 19, true }, { "unlisted for long", false, 23, false } };
    for (const auto& each : cases) {
        SteppedShare share;
        share.listed(6);
        share.run(seconds(13));
        share.copyOutdated(each.isOutdated);
        share.listed(6, each.isOutdated);
        share.run(seconds(each.seconds));
        checkShare(share, each.isGranted ? Slack / 6 : 1, each.isGranted, each.name);
        share.copyOutdated(false);
        share.listed(6);
        share.run(seconds(3));
        checkShare(share, Slack / 6, each.isGranted, each.name);
        share.run(seconds(10));
        checkShare(share, Slack / 6, true, each.name);
    }
}

TEST(RetryShare, LapsesDuringALongStandstill)
{
    SteppedShare share;
    share.listed(6);
    share.run(seconds(13));
    share.standStill(seconds(15));
    checkShare(share, Slack / 6, true, "short");
    share.standStill(seconds(25));
    checkShare(share, 1, false, "long");
}

// An instance that the others no longer see may still spend its share.
TEST(RetryShare, GrowsOnlyLongAfterInstancesAreMissing)
{
    SteppedShare share;
    share.listed(6);
    share.run(seconds(13));
    share.listed(3);
    share.run(seconds(29));
    checkShare(share, Slack / 6, true, "instances are missing");
    share.run(seconds(2));
    checkShare(share, Slack / 3, true, "they have been missing for three windows");
    share.listed(12);
    share.run(seconds(1));
    checkShare(share, Slack / 12, true, "there are more");
}

// What a bucket saved before it may be full counts as a part of the filling: both may be spent within one window.
TEST(RetryShare, TokensSavedBeforeTheGrantAreTakenOffIt)
{
    for (const int spentBefore : { 0, 4, 8 }) {
        RetryBudget budget(1, 20, false);
        for (int i = 0; i < 8; ++i)
            budget.addRequest();
        int spent = 0;
        while (spent < spentBefore && budget.spend())
            ++spent;
        budget.setShare(20, true);
        while (budget.spend())
            ++spent;
        CHECK_EQUAL(20, spent);
    }
}
