#include "relay/RunTimes.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

TEST_GROUP(RunTimes) {};

TEST(RunTimes, FollowTheCallsOfEachRoute)
{
    RunTimes times;
    const RouteId steady("steady");
    const RouteId varied("varied");
    CHECK_FALSE(times.mean(steady).has_value());
    CHECK_FALSE(times.upperBound(steady).has_value());
    for (int i = 0; i < 100; ++i) {
        times.record(steady, milliseconds(100));
        times.record(varied, milliseconds(i % 2 ? 50 : 150));
    }
    CHECK_TRUE(*times.mean(steady) == milliseconds(100));
    CHECK_TRUE(*times.upperBound(steady) < milliseconds(102));
    CHECK_TRUE(*times.mean(varied) > milliseconds(80) && *times.mean(varied) < milliseconds(120));
    CHECK_TRUE(*times.upperBound(varied) > milliseconds(150));
}

TEST(RunTimes, ForgetRoutesThatAreGone)
{
    RunTimes times;
    times.record(RouteId("a"), milliseconds(1));
    times.record(RouteId("b"), milliseconds(1));
    std::vector<Route> routes(1);
    routes[0].id = RouteId("b");
    times.forgetOthersThan(routes);
    CHECK_FALSE(times.mean(RouteId("a")).has_value());
    CHECK_TRUE(times.mean(RouteId("b")).has_value());
}
