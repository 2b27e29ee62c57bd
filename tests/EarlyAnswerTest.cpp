#include "edge/UnknownHeaders.h"
#include "edge/UpstreamAttempt.h"
#include "platform/WireNames.h"
#include "shell/HttpClient.h"
#include "tests/RelayLoopback.h"
#include "tests/Tests.h"
#include "tests/fakes/EarlyServer.h"

#include <absl/strings/str_cat.h>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t FitsIntoBuffers = 64U << 10U;
constexpr std::size_t ExceedsBuffers = 16U << 20U;
const std::size_t UploadSizes[] = { FitsIntoBuffers, ExceedsBuffers };

const std::string PlainHead = answerHead("200 OK") + "Connection: close\r\n";
const std::string StreamHead = PlainHead + "Content-Type: text/event-stream\r\n";
const std::string FirstEvent = "id: 1\ndata: first\n\n";
const std::string ChunkedEvent
    = absl::StrCat("Transfer-Encoding: chunked\r\n\r\n", absl::Hex(FirstEvent.size()), "\r\n", FirstEvent, "\r\n");

struct EarlyAnswerCase {
    const char* name;
    std::string answer;
    AfterEarlyAnswer after;
    AttemptResult result;
};

/// @return the result of an attempt with a large upload; nothing if it did not end within two seconds
std::optional<relay::event::AttemptEnded> attemptAt(const EarlyAnswerCase& row, std::size_t uploadBytes)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    EarlyServer server(context, row.answer, row.after);
    const HeaderNames names = platform::headerNames();
    UnknownHeaders unknown(names);
    relay::effect::StartAttempt order;
    order.attempt = AttemptId(1);
    order.address = server.address();
    order.remaining = seconds(2);
    order.stream = hasText(row.answer, "event-stream");
    auto request = std::make_shared<CallerRequest>(http::verb::post, "/look/1", 11);
    request->set(names.callId, "me");
    request->body().assign(uploadBytes, 'u');
    std::optional<relay::event::AttemptEnded> result;
    const auto attempt = std::make_shared<UpstreamAttempt>(context, names, unknown, order, request,
        std::make_shared<AnswerPipe>(context), [&](const RelayEventBody& event) {
            if (const auto* ended = std::get_if<relay::event::AttemptEnded>(&event)) {
                result = *ended;
                context.stop();
            }
        });
    attempt->start();
    context.run_for(seconds(2));
    return result;
}

/// Sends a request with a large upload.
/// @param streams  whether to use stream() instead of call()
HttpAnswer upload(const std::string& serverAnswer, AfterEarlyAnswer after, std::size_t uploadBytes, bool streams)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    EarlyServer server(context, serverAnswer, after);
    HttpClient client(context);
    HttpCall call;
    call.address = server.address();
    call.verb = http::verb::post;
    call.body.assign(uploadBytes, 'u');
    HttpAnswer answer;
    std::string streamed;
    const auto run = [&]() -> Awaitable<void> {
        HttpClient::Receive receive = [&](std::string_view bytes) {
            streamed.append(bytes);
            return true;
        };
        if (streams)
            answer = co_await client.stream(call, seconds(2), std::move(receive), nullptr);
        else
            answer = co_await client.call(call);
    };
    net::co_spawn(context.get_executor(), run, [&](const std::exception_ptr&) { context.stop(); });
    context.run_for(seconds(4));
    answer.body += streamed;
    return answer;
}

} // namespace

TEST_GROUP(EarlyAnswer) {};

// Guards against a part of an answer without length that passed for whole because the write of the upload, not the
// read of the answer, was told of the reset.
TEST(EarlyAnswer, WithoutLengthIsWholeOnlyIfItEndsInOrder)
{
    const EarlyAnswerCase rows[] = {
        { "plain, reset", PlainHead + "\r\npart", AfterEarlyAnswer::Reset, AttemptResult::Broken },
        { "plain, closed unread", PlainHead + "\r\npart", AfterEarlyAnswer::ClosedUnread, AttemptResult::Broken },
        { "plain, in order", PlainHead + "\r\nwhole", AfterEarlyAnswer::EndedInOrder, AttemptResult::Completed },
        { "plain, upload read", PlainHead + "\r\nwhole", AfterEarlyAnswer::ReadUpload, AttemptResult::Completed },
        { "stream, reset", StreamHead + "\r\n" + FirstEvent, AfterEarlyAnswer::Reset, AttemptResult::Broken },
        { "stream, closed unread", StreamHead + "\r\n" + FirstEvent, AfterEarlyAnswer::ClosedUnread,
            AttemptResult::Broken },
        { "stream, in order", StreamHead + "\r\n" + FirstEvent, AfterEarlyAnswer::EndedInOrder,
            AttemptResult::Unproven },
        { "stream, upload read", StreamHead + "\r\n" + FirstEvent, AfterEarlyAnswer::ReadUpload,
            AttemptResult::Unproven },
        { "cut chunks, reset", StreamHead + ChunkedEvent, AfterEarlyAnswer::Reset, AttemptResult::Broken },
    };
    for (const EarlyAnswerCase& row : rows) {
        for (const std::size_t size : UploadSizes) {
            const std::string text = absl::StrCat(row.name, ", ", size, " bytes");
            const auto ended = attemptAt(row, size);
            CHECK_TRUE_TEXT(ended.has_value(), text.c_str());
            STRCMP_EQUAL_TEXT(toString(row.result), toString(ended->result), text.c_str());
        }
    }
}

// A server that answers early need not read the upload. What it sends is whole by itself.
TEST(EarlyAnswer, ThatIsWholeByItsFramingIsPassedOnWhateverBecomesOfTheUpload)
{
    const std::string length = "Content-Length: 4\r\n\r\nbody";
    const std::string rejection = answerHead("503 Busy") + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    for (const AfterEarlyAnswer after : { AfterEarlyAnswer::Reset, AfterEarlyAnswer::ClosedUnread,
             AfterEarlyAnswer::EndedInOrder, AfterEarlyAnswer::ReadUpload, AfterEarlyAnswer::LeftOpen }) {
        const EarlyAnswerCase rows[] = {
            { "success", PlainHead + length, after, AttemptResult::Completed },
            { "stream", StreamHead + ChunkedEvent + "0\r\n\r\n", after, AttemptResult::Completed },
            { "rejection", rejection, after, AttemptResult::NotRun },
            { "too long", answerHead("413 Too long") + length, after, AttemptResult::ServerFailure },
        };
        for (const EarlyAnswerCase& row : rows) {
            for (const std::size_t size : UploadSizes) {
                const std::string text = absl::StrCat(row.name, ", ", static_cast<int>(after), ", ", size, " bytes");
                const auto ended = attemptAt(row, size);
                CHECK_TRUE_TEXT(ended.has_value(), text.c_str());
                STRCMP_EQUAL_TEXT(toString(row.result), toString(ended->result), text.c_str());
            }
        }
    }
}

// The client of the store, of health checks and of crocusmountd gave up an answer when the upload could not be written.
TEST(EarlyAnswer, ReachesEveryUserOfHttpClient)
{
    const std::string framed = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
    const std::string unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart";
    const struct {
        const char* name;
        std::string answer;
        AfterEarlyAnswer after;
        CallPhase phase;
        BodyEnd end;
    } rows[] = {
        { "framed, reset", framed, AfterEarlyAnswer::Reset, CallPhase::Answered, BodyEnd::Framed },
        { "framed, unread", framed, AfterEarlyAnswer::ClosedUnread, CallPhase::Answered, BodyEnd::Framed },
        { "framed, open", framed, AfterEarlyAnswer::LeftOpen, CallPhase::Answered, BodyEnd::Framed },
        { "unframed, reset", unframed, AfterEarlyAnswer::Reset, CallPhase::Sent, BodyEnd::Missing },
        { "unframed, unread", unframed, AfterEarlyAnswer::ClosedUnread, CallPhase::Sent, BodyEnd::Missing },
        { "unframed, in order", unframed, AfterEarlyAnswer::EndedInOrder, CallPhase::Answered,
            BodyEnd::ConnectionClosed },
    };
    for (const auto& row : rows) {
        for (const std::size_t size : UploadSizes) {
            for (const bool streams : { false, true }) {
                const std::string text = absl::StrCat(row.name, ", ", size, " bytes, streams: ", streams);
                const HttpAnswer answer = upload(row.answer, row.after, size, streams);
                CHECK_TRUE_TEXT(answer.phase == row.phase, text.c_str());
                CHECK_TRUE_TEXT(answer.end == row.end, text.c_str());
            }
        }
    }
}
