#include "tests/ReducerHarness.h"
#include "tests/Tests.h"

using namespace crocusmount;

TEST_GROUP(StalledRequest) {};

// A request whose attempts were spent was cancelled and failed after 400 ms without a token, while its backend server
// ran it.
TEST(StalledRequest, SilenceEndsNoRequestThatCannotBeRepeated)
{
    auto options = ReducerHarness::defaultOptions();
    options.maxAttempts = 1;
    ReducerHarness harness(options);
    harness.configure();
    harness.reportAll();
    harness.request(ReducerHarness::spec(5));
    const auto start = *harness.last<effect::StartAttempt>();
    harness.token(start, 0);
    harness.token(start, 1);
    harness.tick(std::chrono::milliseconds(500));
    CHECK_EQUAL(0U, harness.count<effect::FailAnswer>());
    CHECK_EQUAL(0U, harness.count<effect::CancelAttempt>());
}
