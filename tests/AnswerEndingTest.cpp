#include "tests/RelayLoopback.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;

namespace {

const std::string FirstEvent = "id: 1\ndata: a\n\n";
const std::string SecondEvent = "id: 2\ndata: b\n\n";
const std::string LastChunk = "\r\n0\r\n\r\n";

enum class Framing { Connection, Http10, Chunks, Length };
constexpr Framing AllFramings[] = { Framing::Connection, Framing::Http10, Framing::Chunks, Framing::Length };

const char* nameOf(Framing framing)
{
    switch (framing) {
    case Framing::Connection:
        return "without length";
    case Framing::Http10:
        return "HTTP/1.0";
    case Framing::Chunks:
        return "chunks";
    case Framing::Length:
        return "length";
    }
    return "framing";
}

/// @return a stream that is complete as far as its framing tells
std::string streamOf(Framing framing, const std::string& body)
{
    const std::string type = "Content-Type: text/event-stream\r\n";
    const std::string head = answerHead("200 OK") + type;
    switch (framing) {
    case Framing::Connection:
        return head + "\r\n" + body;
    case Framing::Http10: {
        std::string older = head;
        older.replace(0, 8, "HTTP/1.0");
        return older + "\r\n" + body;
    }
    case Framing::Chunks: {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", body.size());
        const std::string chunk = body.empty() ? std::string() : size + body + "\r\n";
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n";
    }
    case Framing::Length:
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    return {};
}

bool endsWith(const std::string& text, const std::string& end)
{
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

bool isComplete(const std::string& answer) { return hasText(answer, LastChunk); }

} // namespace

TEST_GROUP(AnswerEnding) {};

TEST(AnswerEnding, AStreamCutInsideAnEventIsNotDeliveredAsComplete)
{
    for (const Framing framing : AllFramings) {
        for (const std::size_t rest : { 1U, 5U, 9U, unsigned(SecondEvent.size() - 1) }) {
            const std::string cut = FirstEvent + SecondEvent.substr(0, rest);
            const CallOutcome result = runCall(requestTo("/once/1"), { streamOf(framing, cut) });
            const std::string text = nameOf(framing) + (": " + result.answer);
            CHECK_TRUE_TEXT(endsWith(result.answer, FirstEvent + "\r\n"), text.c_str());
            CHECK_FALSE_TEXT(isComplete(result.answer), text.c_str());
        }
    }
}

TEST(AnswerEnding, AStreamCutInsideItsFirstEventIsNotDeliveredAsComplete)
{
    for (const Framing framing : AllFramings) {
        const CallOutcome result = runCall(requestTo("/once/1"), { streamOf(framing, FirstEvent.substr(0, 8)) });
        const std::string text = nameOf(framing) + (": " + result.answer);
        CHECK_TRUE_TEXT(hasText(result.answer, "HTTP/1.1 502"), text.c_str());
        CHECK_TRUE_TEXT(hasText(result.answer, "may_have_run"), text.c_str());
    }
}

TEST(AnswerEnding, AResumableStreamCutInsideAnEventIsCompletedByAnotherAttempt)
{
    for (const Framing framing : AllFramings) {
        const CallOutcome result = runCall(requestTo("/draft/1"),
            { streamOf(framing, FirstEvent + SecondEvent.substr(0, 9)), streamOf(Framing::Chunks, SecondEvent) });
        const std::string text = nameOf(framing) + (": " + result.answer);
        CHECK_EQUAL_TEXT(2U, result.requests, text.c_str());
        CHECK_TRUE_TEXT(isComplete(result.answer), text.c_str());
        const std::size_t first = result.answer.find("id: 2");
        CHECK_TRUE_TEXT(hasText(result.answer, SecondEvent), text.c_str());
        CHECK_TRUE_TEXT(result.answer.find("id: 2", first + 1) == std::string::npos, text.c_str());
    }
}
