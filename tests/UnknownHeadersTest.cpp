#include "edge/UnknownHeaders.h"
#include "platform/WireNames.h"
#include "tests/Tests.h"

#include <string>

using namespace crocusmount;
using namespace crocusmount::relay;

TEST_GROUP(UnknownHeaders) {};

// Nobody noticed that servers had begun to send a header.
TEST(UnknownHeaders, HeadersWithoutAMeaningAreCountedByName)
{
    const struct {
        const char* name;
        const char* header;
        bool isCounted;
    } cases[] = {
        { "the seal", "X-Server-Seal", false },
        { "the limit", "server-limit", false },
        { "a leave", "Server-Leaving", false },
        { "a standard header", "Content-Type", false },
        { "the time of a rejection", "Retry-After", false },
        { "a new header", "X-New", true },
        { "a new header in another case of letters", "x-NEW", true },
    };
    for (const auto& each : cases) {
        UnknownHeaders headers(platform::headerNames());
        headers.add(each.header);
        CHECK_EQUAL_TEXT(each.isCounted ? 1U : 0U, headers.counts().size(), each.name);
        if (each.isCounted)
            CHECK_EQUAL_TEXT(1U, headers.counts().at("x-new"), each.name);
    }
}

TEST(UnknownHeaders, TheNumberOfNamesIsBounded)
{
    UnknownHeaders headers(platform::headerNames());
    for (int i = 0; i < 1000; ++i)
        headers.add("X-" + std::to_string(i));
    headers.add(std::string(100000, 'x'));
    CHECK_TRUE(headers.counts().size() <= 33);
    CHECK_TRUE(headers.counts().at("other") >= 960);
}
