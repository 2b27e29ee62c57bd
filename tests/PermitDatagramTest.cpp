#include "edge/PeerDatagram.h"
#include "tests/Tests.h"

#include <limits>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint SenderNow = timePoint(9000000);
constexpr TimePoint ReceiverNow = timePoint(5000000);
/// A time on the sender's clock, and the same time on the receiver's.
constexpr TimePoint AskedAt = SenderNow - milliseconds(700);
constexpr TimePoint AskedAtReceived = ReceiverNow - milliseconds(700);

} // namespace

TEST_GROUP(PermitDatagram) {};

TEST(PermitDatagram, PermitsAndLimitsAreUnchangedByEncodingAndDecoding)
{
    const std::optional<double> limits[] = { 8.6, 0.0, std::nullopt };
    for (const auto& limit : limits) {
        PeerDatagram sent;
        sent.permitRequest = PermitRequest { InstanceId("i"), ~0ULL, 12, 3, { limit, AskedAt } };
        sent.permitAnswer = PermitAnswer { 7, 12, 2, milliseconds(350), { limit, AskedAt } };
        sent.serverLimit = ServerLimitReport { 9, { limit, AskedAt } };
        const auto received = decodePeerDatagram(encode(sent, SenderNow), ReceiverNow);
        CHECK_TRUE(received.ok());
        const ServerLimit expected { limit, AskedAtReceived };
        CHECK_TRUE(received->permitRequest == (PermitRequest { InstanceId("i"), ~0ULL, 12, 3, expected }));
        CHECK_TRUE(received->permitAnswer == (PermitAnswer { 7, 12, 2, milliseconds(350), expected }));
        CHECK_EQUAL(9U, received->serverLimit->server);
        CHECK_TRUE(received->serverLimit->limit == expected);
    }
}

TEST(PermitDatagram, ATimeBeforeTheReceiversClockBeganIsItsBegin)
{
    PeerDatagram sent;
    sent.serverLimit = ServerLimitReport { 9, { 5, SenderNow - seconds(8) } };
    const auto received = decodePeerDatagram(encode(sent, SenderNow), ReceiverNow);
    CHECK_TRUE(received->serverLimit->limit.askedAt == TimePoint());
}

TEST(PermitDatagram, ImpossibleNumbersAreRejected)
{
    const struct {
        const char* name;
        ServerLimit limit;
        Duration retryAfter;
        bool isValid;
    } cases[] = {
        { "valid", { 1, AskedAt }, Duration(0), true },
        { "a negative limit", { -1, AskedAt }, Duration(0), false },
        { "an infinite limit", { std::numeric_limits<double>::infinity(), AskedAt }, Duration(0), false },
        { "not a number", { std::numeric_limits<double>::quiet_NaN(), AskedAt }, Duration(0), false },
        { "a time to come", { 1, SenderNow + seconds(1) }, Duration(0), false },
        { "a negative wait", { 1, AskedAt }, seconds(-1), false },
    };
    for (const auto& each : cases) {
        PeerDatagram sent;
        sent.permitAnswer = PermitAnswer { 7, 12, 2, each.retryAfter, each.limit };
        const auto received = decodePeerDatagram(encode(sent, SenderNow), ReceiverNow);
        CHECK_EQUAL_TEXT(each.isValid, received.ok(), each.name);
    }
}
