#include "edge/UpstreamAttempt.h"

#include "edge/ChainText.h"
#include "edge/HopByHop.h"
#include "edge/ServerNoticeReader.h"
#include "edge/UnknownHeaders.h"
#include "shell/AnswerHead.h"
#include "shell/Endpoint.h"
#include "shell/RequestSender.h"
#include "shell/TransferCoding.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace crocusmount::relay {

namespace {

    constexpr auto asTuple = net::as_tuple(useAwaitable);
    /// Longest time to connect. A connection is normally established within a few milliseconds, while TCP repeats a
    /// lost packet only after one second.
    constexpr std::chrono::milliseconds MaxConnectTime { 400 };
    /// Added to the remaining time of the call. The reducer must notice the deadline first: a timeout of the attempt
    /// would count as a failure of the server.
    constexpr std::chrono::seconds DeadlineSlack { 1 };
    /// Connecting may take at most the remaining time of the call divided by this number.
    constexpr int ConnectTimeDivisor = 3;
    /// Longest body of an answer that is buffered as a whole before delivery, in bytes.
    constexpr std::size_t MaxWholeAnswerBytes = 8U << 20U;
    /// Longest event of a stream, in bytes. A server that never ends an event must not fill the memory.
    constexpr std::size_t MaxEventBytes = 1U << 20U;
    /// Answers to other calls that are skipped before the attempt fails.
    constexpr int MaxForeignAnswers = 3;
    constexpr std::string_view ContentType = "Content-Type";
    /// HTTP status of a server that is not the expected one.
    constexpr unsigned MisdirectedRequest = 421;

    ConnectFailure connectFailureOf(const boost::system::error_code& error)
    {
        if (error == beast::error::timeout || error == net::error::timed_out)
            return ConnectFailure::TimedOut;
        if (error == net::error::connection_refused)
            return ConnectFailure::Refused;
        if (error == net::error::connection_reset)
            return ConnectFailure::Reset;
        return ConnectFailure::Other;
    }

    /// @return the head of an answer without its hop-by-hop headers
    AnswerHead forwardedHead(const http::response_header<>& header)
    {
        AnswerHead head;
        head.status = header.result_int();
        head.reason = std::string(header.reason());
        const HopByHop hopByHop(header[http::field::connection]);
        for (const auto& field : header) {
            const std::string_view name = field.name_string();
            if (!hopByHop.isHopByHop(name))
                head.headers.emplace_back(std::string(name), std::string(field.value()));
        }
        return head;
    }

    /// @return whether the type of an answer is that of a stream of events; types are case-insensitive
    bool isEventStream(const http::response_header<>& header)
    {
        const std::string_view value = header[http::field::content_type];
        const std::string_view type = value.substr(0, value.find(';'));
        return absl::EqualsIgnoreCase(
            absl::StripAsciiWhitespace(absl::string_view(type.data(), type.size())), "text/event-stream");
    }

    /// @return whether a stream of events ends inside one
    bool endsInsideEvent(std::string_view body)
    {
        EventSplitter splitter;
        splitter.feed(body);
        while (splitter.next()) { }
        return splitter.isInsideEvent();
    }

} // namespace

UpstreamAttempt::UpstreamAttempt(net::io_context& context, const HeaderNames& names, UnknownHeaders& unknown,
    effect::StartAttempt order, std::shared_ptr<const CallerRequest> request, std::shared_ptr<AnswerPipe> pipe,
    PostEvent postEvent)
    : m_headerNames(names)
    , m_unknownHeaders(unknown)
    , m_order(std::move(order))
    , m_request(std::move(request))
    , m_pipe(std::move(pipe))
    , m_postEvent(std::move(postEvent))
    , m_stream(context.get_executor())
    , m_readAhead(MaxReadAheadBytes)
    , m_callDeadline(std::chrono::steady_clock::now() + m_order.remaining)
    , m_deadline(m_callDeadline + DeadlineSlack)
    , m_lastEventId(m_order.resumeAfter.value_or(0))
    , m_releaseSignal(context.get_executor())
{
}

void UpstreamAttempt::start()
{
    net::co_spawn(
        m_stream.get_executor(),
        [self = shared_from_this()]() -> Awaitable<void> {
            const event::AttemptEnded result = co_await self->run();
            self->m_stream.close();
            if (!self->m_isCancelled)
                self->m_postEvent(result);
        },
        net::detached);
}

void UpstreamAttempt::cancel()
{
    m_isCancelled = true;
    m_stream.close();
    continueAnswer();
}

void UpstreamAttempt::hold()
{
    m_isHeld = true;
    m_releaseSignal.expires_at(std::chrono::steady_clock::time_point::max());
}

void UpstreamAttempt::continueAnswer()
{
    m_isHeld = false;
    m_releaseSignal.cancel();
}

Awaitable<void> UpstreamAttempt::waitUntilReleased()
{
    while (m_isHeld)
        co_await m_releaseSignal.async_wait(asTuple);
}

CallerRequest UpstreamAttempt::buildServerRequest(
    const HeaderNames& names, const effect::StartAttempt& order, const CallerRequest& request, Duration remaining)
{
    CallerRequest forwarded(request.method(), request.target(), 11);
    const HopByHop hopByHop(request[http::field::connection]);
    const auto isDropped = [&](std::string_view name) {
        const auto isSame = [&](const std::string& other) {
            return absl::EqualsIgnoreCase(absl::string_view(name.data(), name.size()), other);
        };
        return isSame("Authorization") || isSame("Expect") || isSame(names.deadlineMs) || isSame(names.resumeAfter)
            || std::any_of(names.fromInstancesOnly.begin(), names.fromInstancesOnly.end(), isSame);
    };
    for (const auto& field : request) {
        const std::string_view name = field.name_string();
        if (!hopByHop.isHopByHop(name) && !isDropped(name))
            forwarded.insert(field.name_string(), field.value());
    }
    const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    forwarded.set(names.deadlineMs, std::to_string(std::max<std::int64_t>(1, remainingMs)));
    forwarded.set(names.expectedServer, order.server.value());
    if (!order.workspace.empty())
        forwarded.set(names.workspace, order.workspace);
    if (!order.chain.hops().empty())
        forwarded.set(names.chain, wireText(order.chain));
    if (order.resumeAfter)
        forwarded.set(names.resumeAfter, std::to_string(*order.resumeAfter));
    forwarded.body() = request.body();
    if (!forwarded.body().empty() || request.has_content_length() || request.chunked())
        forwarded.content_length(forwarded.body().size());
    return forwarded;
}

event::AttemptEnded UpstreamAttempt::makeEnded(AttemptResult result, unsigned status, std::string culprit) const
{
    return { m_order.attempt, result, status, std::move(culprit), std::nullopt, m_connectFailure };
}

Awaitable<bool> UpstreamAttempt::connect()
{
    const auto endpoint = parseEndpoint<Tcp>(m_order.address);
    if (!endpoint.ok())
        co_return false;
    const auto shareOfRemaining
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_order.remaining / ConnectTimeDivisor);
    m_stream.expires_after(std::min(MaxConnectTime, shareOfRemaining));
    const auto [error] = co_await m_stream.async_connect(*endpoint, asTuple);
    if (error)
        m_connectFailure = connectFailureOf(error);
    if (error || m_isCancelled)
        co_return false;
    boost::system::error_code ignored;
    m_stream.socket().set_option(Tcp::no_delay(true), ignored);
    m_stream.expires_at(m_deadline);
    co_return true;
}

Awaitable<event::AttemptEnded> UpstreamAttempt::run()
{
    if (!co_await connect())
        co_return makeEnded(AttemptResult::ConnectFailed);
    const auto remaining = std::chrono::duration_cast<Duration>(m_callDeadline - std::chrono::steady_clock::now());
    m_postEvent(event::AttemptSent { m_order.attempt });
    m_sender = RequestSender::start(
        m_stream, shared_from_this(), buildServerRequest(m_headerNames, m_order, *m_request, remaining));
    std::unique_ptr<Parser> parser;
    for (int foreignAnswers = 0;; ++foreignAnswers) {
        if (!co_await readHead(parser) || m_isCancelled)
            co_return makeEnded(AttemptResult::Broken);
        const unsigned status = parser->get().result_int();
        if (kindOfStatus(status) == StatusKind::Invalid || hasConflictingValues(parser->get(), m_headerNames.callId))
            co_return makeEnded(AttemptResult::Broken, status);
        if (isOwnAnswer(*parser))
            break;
        if (foreignAnswers == MaxForeignAnswers || !co_await discardBody(*parser))
            co_return makeEnded(AttemptResult::Broken, parser->get().result_int());
    }
    const auto& head = parser->get().base();
    const unsigned status = head.result_int();
    postNotice(head);
    const bool isSuccess = status >= 200 && status < 300;
    if (!isSuccess && (head.count(m_headerNames.notRun) || status == MisdirectedRequest))
        co_return makeEnded(AttemptResult::NotRun, status, std::string(singleValue(head, m_headerNames.culprit)));
    const bool isReadable = !head.count(http::field::content_encoding) && !hasUnknownTransferCoding(head)
        && !hasConflictingValues(head, ContentType);
    const bool isSealed = head.count(m_headerNames.seal) && !hasConflictingValues(head, m_headerNames.seal);
    if (!isSealed || !isReadable)
        co_return makeEnded(AttemptResult::Broken, status);
    if (isSuccess)
        m_postEvent(event::AnswerBegun { m_order.attempt });
    // On a route of streams, an answer without a type is one.
    if (isSuccess && m_order.stream && (isEventStream(head) || !head.count(http::field::content_type)))
        co_return co_await relayStream(*parser);
    co_return co_await relayWholeAnswer(*parser, isSuccess);
}

void UpstreamAttempt::postNotice(const http::response_header<>& head)
{
    for (const auto& field : head)
        m_unknownHeaders.add(field.name_string());
    const ServerNotice notice = readServerNotice(m_headerNames, head.result_int(), [&](const std::string& name) {
        return head.count(name) ? std::optional(singleValue(head, name)) : std::nullopt;
    });
    if (notice.hasContent())
        m_postEvent(event::ServerNoticeSeen { m_order.server, m_order.serverStart, m_order.startedAt, notice });
}

bool UpstreamAttempt::isOwnAnswer(const Parser& parser) const
{
    const auto& head = parser.get();
    if (kindOfStatus(head.result_int()) == StatusKind::Interim)
        return false;
    const std::string_view echoed = head[m_headerNames.callId];
    if (!echoed.empty())
        return echoed == (*m_request)[m_headerNames.callId];
    // A server may reject a call before it has read the call's id.
    return head.count(m_headerNames.notRun) || head.result_int() == MisdirectedRequest;
}

AnswerFraming UpstreamAttempt::framingOf(const Parser& parser)
{
    if (parser.chunked())
        return AnswerFraming::Chunks;
    return parser.need_eof() ? AnswerFraming::Connection : AnswerFraming::Length;
}

AnswerStop UpstreamAttempt::closedStop() const
{
    return m_sender->hasConnectionFailed() ? AnswerStop::Aborted : AnswerStop::Closed;
}

AnswerStop UpstreamAttempt::stopOf(const Parser& parser) const
{
    const bool isClosed = m_readError == http::error::partial_message || m_readError == http::error::end_of_stream
        || m_readError == net::error::eof;
    if (isClosed)
        return closedStop();
    if (m_readError || !parser.is_done())
        return AnswerStop::Aborted;
    return parser.need_eof() ? closedStop() : AnswerStop::EndOfMessage;
}

Awaitable<bool> UpstreamAttempt::readHead(std::unique_ptr<Parser>& parser)
{
    parser = std::make_unique<Parser>();
    parser->body_limit(boost::none);
    parser->skip(m_request->method() == http::verb::head);
    const auto [error, count] = co_await http::async_read_header(m_stream, m_readAhead, *parser, asTuple);
    co_return !error;
}

Awaitable<bool> UpstreamAttempt::readBodyChunk(Parser& parser, std::string_view& bytes)
{
    parser.get().body().data = m_bodyChunk.data();
    parser.get().body().size = m_bodyChunk.size();
    auto [error, count] = co_await http::async_read_some(m_stream, m_readAhead, parser, asTuple);
    if (error == http::error::need_buffer)
        error = {};
    // The stream's own timer does not stop reads that always find bytes, such as many small chunks.
    if (!error && std::chrono::steady_clock::now() >= m_deadline)
        error = beast::error::timeout;
    m_readError = error;
    bytes = std::string_view(m_bodyChunk.data(), m_bodyChunk.size() - parser.get().body().size);
    co_return !error && !m_isCancelled;
}

Awaitable<bool> UpstreamAttempt::discardBody(Parser& parser)
{
    if ((parser.need_eof() && !parser.is_done()) || hasUnknownTransferCoding(parser.get().base()))
        co_return false;
    std::string_view bytes;
    std::size_t discarded = 0;
    while (!parser.is_done()) {
        if (!co_await readBodyChunk(parser, bytes) || (discarded += bytes.size()) > MaxWholeAnswerBytes)
            co_return false;
    }
    co_return true;
}

Awaitable<event::AttemptEnded> UpstreamAttempt::relayWholeAnswer(Parser& parser, bool isSuccess)
{
    WholeAnswer answer;
    answer.head = forwardedHead(parser.get().base());
    AnswerEnding ending;
    ending.framing = framingOf(parser);
    event::AttemptEnded ended = makeEnded(AttemptResult::Broken, answer.head.status);
    bool canContinue = true;
    std::string_view bytes;
    while (canContinue && !parser.is_done()) {
        canContinue = co_await readBodyChunk(parser, bytes) && answer.body.size() + bytes.size() <= MaxWholeAnswerBytes;
        answer.body.append(bytes);
        m_pipe->collect(answer.body.size() + m_readAhead.size());
    }
    m_pipe->collect(0);
    if (canContinue || m_readError)
        ending.stop = stopOf(parser);
    ending.isInsideEvent = isEventStream(parser.get().base()) && endsInsideEvent(answer.body);
    ended.ending = ending;
    if (!canContinue || completenessOf(ending) == Completeness::BrokenOff)
        co_return ended;
    if (isSuccess)
        m_pipe->deliver(std::move(answer));
    else
        m_pipe->keepFailure(std::move(answer));
    ended.result = isSuccess ? AttemptResult::Completed : AttemptResult::ServerFailure;
    co_return ended;
}

Awaitable<event::AttemptEnded> UpstreamAttempt::relayStream(Parser& parser)
{
    const AnswerHead head = forwardedHead(parser.get().base());
    EventSplitter splitter;
    AnswerEnding ending;
    ending.framing = framingOf(parser);
    ending.isStream = true;
    ending.isContinuation = m_lastEventId > 0;
    event::AttemptEnded ended = makeEnded(AttemptResult::Broken, head.status);
    std::string_view bytes;
    bool canContinue = true;
    while (canContinue && !parser.is_done()) {
        const bool readSucceeded = co_await readBodyChunk(parser, bytes);
        splitter.feed(bytes);
        m_pipe->collect(splitter.rest().size() + m_readAhead.size());
        canContinue = !m_isCancelled && co_await deliverEvents(splitter, head, ending.events) && readSucceeded
            && splitter.rest().size() <= MaxEventBytes;
    }
    m_pipe->collect(0);
    if (canContinue || m_readError)
        ending.stop = stopOf(parser);
    ending.isInsideEvent = splitter.isInsideEvent();
    ended.ending = ending;
    if (!canContinue || completenessOf(ending) == Completeness::BrokenOff)
        co_return ended;
    if (!m_hasDeliveredHead)
        m_pipe->begin(head);
    m_pipe->append(splitter.rest());
    if (completenessOf(ending) == Completeness::Unproven) {
        ended.result = AttemptResult::Unproven;
        co_return ended;
    }
    m_pipe->end();
    ended.result = AttemptResult::Completed;
    co_return ended;
}

Awaitable<bool> UpstreamAttempt::deliverEvents(EventSplitter& splitter, const AnswerHead& head, std::uint32_t& events)
{
    while (const auto event = splitter.next()) {
        co_await waitUntilReleased();
        if (m_isCancelled)
            co_return false;
        // An event that the caller already has comes from another run of the call, whose later events may not continue
        // this stream.
        if (event->id && m_lastEventId && *event->id <= m_lastEventId)
            co_return false;
        if (!m_hasDeliveredHead) {
            m_hasDeliveredHead = true;
            m_pipe->begin(head);
        }
        m_pipe->append(event->bytes);
        ++events;
        if (event->id)
            m_lastEventId = *event->id;
        m_postEvent(event::EventDelivered { m_order.attempt, m_lastEventId });
        if (m_isCancelled)
            co_return false;
    }
    co_return true;
}

} // namespace crocusmount::relay
