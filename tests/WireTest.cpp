#include "shell/PeerCodec.h"
#include "shell/ServiceCall.h"
#include "shell/SseParser.h"
#include "tests/Tests.h"

using namespace crocusmount;

TEST_GROUP(Wire) {};

TEST(Wire, PeerMessageSurvivesRoundTrip)
{
    PeerMessage message;
    message.kind = PeerMessageKind::PingRequest;
    message.sender
        = { InstanceId("e1"), "10.0.0.1:2", "10.0.0.1:1", DataCentreId("dc"), 7, MemberState::Leaving, Revision(9) };
    message.sequence = 3;
    message.target = InstanceId("e2");
    message.updates = { message.sender };
    BackendNews news;
    news.report = { BackendId("b"), "m", { 2, 4 }, Generation(5), 6, 7, 8, true };
    news.reachable = false;
    news.age = Duration(11);
    news.sequence = 12;
    message.backends = { news };
    const std::string bytes = encode(message);
    const auto decoded = decodePeerMessage(bytes);
    CHECK_TRUE(decoded.ok());
    CHECK_TRUE(bytes == encode(*decoded));
    CHECK_TRUE(decoded->backends[0].age == Duration(11));
    CHECK_TRUE(decoded->sender.state == MemberState::Leaving);
}

TEST(Wire, TruncatedOrInvalidBytesAreRejected)
{
    PeerMessage message;
    message.sender.instance = InstanceId("e1");
    const std::string bytes = encode(message);
    for (std::size_t length = 0; length + 1 < bytes.size(); ++length)
        CHECK_FALSE(decodePeerMessage(bytes.substr(0, length)).ok());
    CHECK_FALSE(decodePeerMessage(std::string(64, '\xff')).ok());
}

TEST(Wire, EventStreamIsParsedAtAnySplitPosition)
{
    const std::string text = "data: one\n\ndata:two\r\n: comment\nevent: x\ndata: three\n\n";
    for (std::size_t splitPosition = 0; splitPosition <= text.size(); ++splitPosition) {
        SseParser parser;
        std::string parsedData;
        const auto onData = [&](std::string_view data) {
            parsedData.append(data);
            parsedData += '|';
            return true;
        };
        parser.feed(std::string_view(text).substr(0, splitPosition), onData);
        parser.feed(std::string_view(text).substr(splitPosition), onData);
        CHECK_TEXT("one|two|three|", parsedData);
    }
}

TEST(Wire, ServiceAnswerBodyMayContainAnyByte)
{
    std::string body;
    for (int byte = 0; byte < 256; ++byte)
        body += static_cast<char>(byte);
    const ServiceAnswer answer = serviceAnswerFromJson(toJson(ServiceAnswer { 207, "application/x", body }));
    CHECK_EQUAL(207U, answer.status);
    CHECK_TRUE(body == answer.body);
}
