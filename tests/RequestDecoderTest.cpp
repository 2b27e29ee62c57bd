#include "shell/RequestDecoder.h"
#include "tests/Tests.h"

using namespace crocusmount;
using Progress = RequestDecoder::Progress;

TEST_GROUP(RequestDecoder) {};

namespace {

constexpr RequestLimits SmallLimits { 1024, 4096 };
/// What is kept of one request: its head, a body, and bytes that are not yet processed.
constexpr std::uint64_t MaxHeldBytes = 2 * 1024 + 4096 + 2 * 16384;

/// Feeds bytes in pieces until the request ends or there are no more.
/// @param most  set to the largest number of bytes held
Progress feed(RequestDecoder& decoder, std::string_view bytes, std::size_t piece, std::uint64_t& most)
{
    Progress progress = Progress::NeedsMore;
    while (progress == Progress::NeedsMore || progress == Progress::HeadDone) {
        if (progress == Progress::NeedsMore) {
            if (bytes.empty())
                return progress;
            const net::mutable_buffer space = decoder.prepare();
            const std::size_t count = std::min({ piece, bytes.size(), space.size() });
            std::memcpy(space.data(), bytes.data(), count);
            decoder.commit(count);
            bytes.remove_prefix(count);
        }
        progress = decoder.advance();
        most = std::max(most, decoder.heldBytes());
    }
    return progress;
}

std::string repeated(const std::string& text, std::size_t bytes)
{
    std::string all;
    while (all.size() < bytes)
        all += text;
    return all;
}

const std::string head = "POST /draft/1 HTTP/1.1\r\nHost: h.example\r\n";
const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string line = "X-Line: " + std::string(50, 'a') + "\r\n";
constexpr std::size_t Endless = 1U << 20U;

} // namespace

// Trailers and chunk extensions without end filled the memory.
TEST(RequestDecoder, RequestsWithoutEndAreRejectedWithinTheirLimits)
{
    const boost::system::error_code headerLimit = http::error::header_limit;
    const boost::system::error_code bodyLimit = http::error::body_limit;
    const struct {
        const char* name;
        std::string bytes;
        boost::system::error_code error;
    } cases[] = {
        { "head lines", head + repeated(line, Endless), headerLimit },
        { "a head line", head + "X-Line: " + std::string(Endless, 'a'), headerLimit },
        { "trailer lines", chunkedHead + "0\r\n" + repeated(line, Endless), headerLimit },
        { "a trailer line", chunkedHead + "0\r\nX-Line: " + std::string(Endless, 'a'), headerLimit },
        { "a chunk extension", chunkedHead + "1;a=" + std::string(Endless, 'b'), headerLimit },
        { "an extension behind a chunk", chunkedHead + "1\r\nx\r\n1;a=" + std::string(Endless, 'b'), headerLimit },
        { "an extension of the last chunk", chunkedHead + "0;a=" + std::string(Endless, 'b'), headerLimit },
        { "a chunk size", chunkedHead + std::string(Endless, '0'), headerLimit },
        { "chunks", chunkedHead + repeated("1\r\nx\r\n", Endless), bodyLimit },
        { "a chunk", chunkedHead + "fffffff\r\n" + std::string(Endless, 'x'), bodyLimit },
        { "a length", head + "Content-Length: 99999999\r\n\r\n" + std::string(Endless, 'x'), bodyLimit },
    };
    for (const auto& each : cases) {
        for (const std::size_t piece : { 1U, 1000U, 16384U }) {
            RequestDecoder decoder;
            decoder.begin(SmallLimits);
            std::uint64_t most = 0;
            CHECK_TEXT("", feed(decoder, each.bytes, piece, most) == Progress::Failed ? "" : each.name);
            CHECK_TEXT(each.error.message(), decoder.error().message());
            CHECK_TEXT("", most <= MaxHeldBytes ? "" : each.name);
        }
    }
}

TEST(RequestDecoder, RequestsWithinTheLimitsAreRead)
{
    const std::string largest(SmallLimits.bodyBytes, 'x');
    const std::string trailers = repeated(line, SmallLimits.headBytes - 2 * line.size());
    const struct {
        const char* name;
        std::string bytes;
        std::string body;
    } cases[] = {
        { "no body", head + "\r\n", "" },
        { "no chunk but the last", chunkedHead + "0\r\n\r\n", "" },
        { "the largest body", head + "Content-Length: 4096\r\n\r\n" + largest, largest },
        { "the largest body in one chunk", chunkedHead + "1000\r\n" + largest + "\r\n0\r\n\r\n", largest },
        { "the largest body in tiny chunks",
            chunkedHead + repeated("1\r\nx\r\n", std::size_t { 6 } * 4096) + "0\r\n\r\n", largest },
        { "long extensions",
            chunkedHead + "1;a=" + std::string(900, 'b') + "\r\nx\r\n0;a=" + std::string(900, 'b') + "\r\n\r\n", "x" },
        { "trailers", chunkedHead + "1\r\nx\r\n0\r\n" + trailers + "\r\n", "x" },
    };
    for (const auto& each : cases) {
        for (const std::size_t piece : { 1U, 7U, 1000U, 16384U }) {
            RequestDecoder decoder;
            decoder.begin(SmallLimits);
            std::uint64_t most = 0;
            CHECK_TEXT("", feed(decoder, each.bytes, piece, most) == Progress::Done ? "" : each.name);
            CHECK_TEXT("", most <= MaxHeldBytes ? "" : each.name);
            CHECK_TEXT(each.body, decoder.release().body());
            CHECK_FALSE(decoder.hasBytes());
        }
    }
}

// A trailer could name another workspace's key, another call's id, and a header that only instances set.
TEST(RequestDecoder, TrailersSetNoHeader)
{
    RequestDecoder decoder;
    decoder.begin(SmallLimits);
    std::uint64_t most = 0;
    const std::string trailers = "Authorization: Bearer other\r\nHost: other\r\nX-New: 1\r\nConnection: close\r\n";
    CHECK_TRUE(feed(decoder, chunkedHead + "1\r\nx\r\n0\r\n" + trailers + "\r\n", 16, most) == Progress::Done);
    const RequestDecoder::Request request = decoder.release();
    CHECK_EQUAL(0U, request.count("Authorization"));
    CHECK_EQUAL(1U, request.count("Host"));
    CHECK_EQUAL(0U, request.count("X-New"));
    CHECK_TRUE(request.keep_alive());
}

// A field that is longer than Beast can store ended the process.
TEST(RequestDecoder, AFieldThatIsTooLongIsRejected)
{
    for (const std::size_t bytes : { 65000U, 70000U }) {
        const std::string fields[] = { "X-Line: " + std::string(bytes, 'a'), std::string(bytes, 'a') + ": a" };
        for (const std::string& field : fields) {
            RequestDecoder decoder;
            decoder.begin({ 200000, 4096 });
            std::uint64_t most = 0;
            const Progress expected = bytes > 65000 ? Progress::Failed : Progress::Done;
            CHECK_TRUE(feed(decoder, head + field + "\r\n\r\n", 16384, most) == expected);
        }
    }
}

TEST(RequestDecoder, BytesBehindARequestBelongToTheNext)
{
    RequestDecoder decoder;
    std::uint64_t most = 0;
    const std::string first = chunkedHead + "1\r\na\r\n0\r\nX-Line: 1\r\n\r\n";
    decoder.begin(SmallLimits);
    CHECK_TRUE(feed(decoder, first + head + "Content-Length: 1\r\n\r\nb", 16384, most) == Progress::Done);
    CHECK_TEXT("a", decoder.release().body());
    CHECK_TRUE(decoder.hasBytes());
    decoder.begin(SmallLimits);
    CHECK_TRUE(decoder.advance() == Progress::HeadDone);
    CHECK_TRUE(decoder.advance() == Progress::Done);
    CHECK_TEXT("b", decoder.release().body());
}

// The announced length was reserved at once.
TEST(RequestDecoder, AnAnnouncedBodyTakesNoMemoryBeforeItArrives)
{
    RequestDecoder decoder;
    decoder.begin({ 16384, 1U << 30U });
    std::uint64_t most = 0;
    CHECK_TRUE(feed(decoder, head + "Content-Length: 1000000000\r\n\r\nx", 16384, most) == Progress::NeedsMore);
    CHECK_EQUAL(1000000000U, decoder.announcedBodyBytes());
    CHECK_TRUE(most < 64U << 10U);
}
