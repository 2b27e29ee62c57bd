#include "edge/UpstreamAttempt.h"

#include "edge/ChainText.h"
#include "edge/HopByHop.h"
#include "shell/Endpoint.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace crocusmount::relay {

namespace {

    constexpr auto asTuple = net::as_tuple(useAwaitable);
    /// Links answer within a few milliseconds; a lost packet is sent again only after a second.
    constexpr std::chrono::milliseconds ConnectLimit { 400 };
    /// The call's deadline is the reducer's to tell; an attempt that ended by itself would look like a failed server.
    constexpr std::chrono::seconds DeadlineSlack { 1 };
    /// Part of the time left that connecting may take.
    constexpr int ConnectShare = 3;
    /// Largest answer of a plain service that is kept whole before it is handed over.
    constexpr std::size_t WholeAnswerLimit = 8U << 20U;
    /// Answers that belong to other calls, before the connection is given up.
    constexpr int MostForeignAnswers = 3;
    constexpr unsigned Misdirected = 421;

    AnswerHead headOf(const http::response_header<>& header)
    {
        AnswerHead head;
        head.status = header.result_int();
        head.reason = std::string(header.reason());
        const HopByHop hopByHop(header[http::field::connection]);
        for (const auto& field : header) {
            const std::string_view name = field.name_string();
            if (!hopByHop.concerns(name))
                head.headers.emplace_back(std::string(name), std::string(field.value()));
        }
        return head;
    }

} // namespace

UpstreamAttempt::UpstreamAttempt(net::io_context& context, const HeaderNames& names, effect::StartAttempt order,
    std::shared_ptr<const CallerRequest> request, std::shared_ptr<AnswerPipe> pipe, Post post)
    : m_names(names)
    , m_order(std::move(order))
    , m_request(std::move(request))
    , m_pipe(std::move(pipe))
    , m_post(std::move(post))
    , m_stream(context.get_executor())
    , m_lastEvent(m_order.resumeAfter.value_or(0))
    , m_release(context.get_executor())
{
}

void UpstreamAttempt::start()
{
    net::co_spawn(
        m_stream.get_executor(),
        [self = shared_from_this()]() -> Awaitable<void> {
            const event::AttemptEnded result = co_await self->run();
            self->m_stream.close();
            if (!self->m_cancelled)
                self->m_post(result);
        },
        net::detached);
}

void UpstreamAttempt::cancel()
{
    m_cancelled = true;
    m_stream.close();
    continueAnswer();
}

void UpstreamAttempt::hold()
{
    m_held = true;
    m_release.expires_at(std::chrono::steady_clock::time_point::max());
}

void UpstreamAttempt::continueAnswer()
{
    m_held = false;
    m_release.cancel();
}

Awaitable<void> UpstreamAttempt::untilReleased()
{
    while (m_held)
        co_await m_release.async_wait(asTuple);
}

CallerRequest UpstreamAttempt::outgoing(
    const HeaderNames& names, const effect::StartAttempt& order, const CallerRequest& request)
{
    CallerRequest out(request.method(), request.target(), 11);
    const HopByHop hopByHop(request[http::field::connection]);
    const auto ours = [&](std::string_view name) {
        const auto same = [&](const std::string& other) {
            return absl::EqualsIgnoreCase(absl::string_view(name.data(), name.size()), other);
        };
        return same("Authorization") || same("Expect") || same(names.deadlineMs) || same(names.resumeAfter)
            || std::any_of(names.fromInstancesOnly.begin(), names.fromInstancesOnly.end(), same);
    };
    for (const auto& field : request) {
        const std::string_view name = field.name_string();
        if (!hopByHop.concerns(name) && !ours(name))
            out.insert(field.name_string(), field.value());
    }
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(order.remaining).count();
    out.set(names.deadlineMs, std::to_string(std::max<std::int64_t>(1, remaining)));
    out.set(names.expectedServer, order.server.value());
    if (!order.workspace.empty())
        out.set(names.workspace, order.workspace);
    if (!order.chain.hops().empty())
        out.set(names.chain, wireText(order.chain));
    if (order.resumeAfter)
        out.set(names.resumeAfter, std::to_string(*order.resumeAfter));
    out.body() = request.body();
    if (!out.body().empty() || request.has_content_length() || request.chunked())
        out.content_length(out.body().size());
    return out;
}

event::AttemptEnded UpstreamAttempt::ended(AttemptResult result, unsigned status, std::string culprit) const
{
    return { m_order.attempt, result, status, std::move(culprit) };
}

Awaitable<bool> UpstreamAttempt::connect()
{
    const auto endpoint = parseEndpoint<Tcp>(m_order.address);
    if (!endpoint.ok())
        co_return false;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_order.remaining / ConnectShare);
    m_stream.expires_after(std::min(ConnectLimit, left));
    const auto [error] = co_await m_stream.async_connect(*endpoint, asTuple);
    if (error || m_cancelled)
        co_return false;
    boost::system::error_code ignored;
    m_stream.socket().set_option(Tcp::no_delay(true), ignored);
    m_stream.expires_after(m_order.remaining + DeadlineSlack);
    co_return true;
}

Awaitable<event::AttemptEnded> UpstreamAttempt::run()
{
    if (!co_await connect())
        co_return ended(AttemptResult::ConnectFailed);
    const CallerRequest out = outgoing(m_names, m_order, *m_request);
    m_post(event::AttemptSent { m_order.attempt });
    const auto [error, count] = co_await http::async_write(m_stream, out, asTuple);
    (void)error; // A server may answer and close before it has read all; what it sent is read below.
    (void)count;
    std::unique_ptr<Parser> parser;
    for (int foreign = 0;; ++foreign) {
        if (!co_await readHead(parser) || m_cancelled)
            co_return ended(AttemptResult::Broken);
        if (isOwnAnswer(*parser))
            break;
        if (foreign == MostForeignAnswers || !co_await discard(*parser))
            co_return ended(AttemptResult::Broken, parser->get().result_int());
    }
    const auto& head = parser->get().base();
    const unsigned status = head.result_int();
    const bool success = status >= 200 && status < 300;
    if (!success && (head.count(m_names.notRun) || status == Misdirected))
        co_return ended(AttemptResult::NotRun, status, std::string(head[m_names.culprit]));
    if (!head.count(m_names.seal) || head.count(http::field::content_encoding))
        co_return ended(AttemptResult::Broken, status);
    if (success)
        m_post(event::AnswerBegun { m_order.attempt });
    const std::string_view type = head[http::field::content_type];
    if (success && m_order.stream && type.substr(0, 17) == "text/event-stream")
        co_return co_await takeStream(*parser);
    co_return co_await takeWhole(*parser, success);
}

bool UpstreamAttempt::isOwnAnswer(const Parser& parser) const
{
    const auto& head = parser.get();
    if (head.result_int() < 200)
        return false;
    const std::string_view echoed = head[m_names.callId];
    if (!echoed.empty())
        return echoed == (*m_request)[m_names.callId];
    // A server that turns a call away need not have read its id.
    return head.count(m_names.notRun) || head.result_int() == Misdirected;
}

Awaitable<bool> UpstreamAttempt::readHead(std::unique_ptr<Parser>& parser)
{
    parser = std::make_unique<Parser>();
    parser->body_limit(boost::none);
    const auto [error, count] = co_await http::async_read_header(m_stream, m_buffer, *parser, asTuple);
    co_return !error;
}

Awaitable<bool> UpstreamAttempt::readSome(Parser& parser, std::string_view& bytes)
{
    parser.get().body().data = m_piece.data();
    parser.get().body().size = m_piece.size();
    auto [error, count] = co_await http::async_read_some(m_stream, m_buffer, parser, asTuple);
    if (error == http::error::need_buffer)
        error = {};
    bytes = std::string_view(m_piece.data(), m_piece.size() - parser.get().body().size);
    co_return !error && !m_cancelled;
}

Awaitable<bool> UpstreamAttempt::discard(Parser& parser)
{
    if (parser.need_eof() && !parser.is_done())
        co_return false;
    std::string_view bytes;
    while (!parser.is_done()) {
        if (!co_await readSome(parser, bytes))
            co_return false;
    }
    co_return true;
}

Awaitable<event::AttemptEnded> UpstreamAttempt::takeWhole(Parser& parser, bool success)
{
    WholeAnswer answer;
    answer.head = headOf(parser.get().base());
    std::string_view bytes;
    while (!parser.is_done()) {
        if (!co_await readSome(parser, bytes) || answer.body.size() + bytes.size() > WholeAnswerLimit)
            co_return ended(AttemptResult::Broken, answer.head.status);
        answer.body.append(bytes);
    }
    const unsigned status = answer.head.status;
    if (success)
        m_pipe->deliver(std::move(answer));
    else
        m_pipe->hold(std::move(answer));
    co_return ended(success ? AttemptResult::Completed : AttemptResult::ServerFailure, status);
}

Awaitable<event::AttemptEnded> UpstreamAttempt::takeStream(Parser& parser)
{
    const AnswerHead head = headOf(parser.get().base());
    EventSplitter splitter;
    std::string_view bytes;
    while (!parser.is_done()) {
        const bool readable = co_await readSome(parser, bytes);
        splitter.feed(bytes);
        if (m_cancelled || !co_await deliverEvents(splitter, head) || !readable)
            co_return ended(AttemptResult::Broken, head.status);
    }
    if (!m_begun)
        m_pipe->begin(head);
    m_pipe->append(splitter.rest());
    m_pipe->end();
    co_return ended(AttemptResult::Completed, head.status);
}

Awaitable<bool> UpstreamAttempt::deliverEvents(EventSplitter& splitter, const AnswerHead& head)
{
    while (const auto event = splitter.next()) {
        co_await untilReleased();
        if (m_cancelled)
            co_return false;
        // An event that the caller has already is another run's; what follows cannot be trusted to join.
        if (event->id && m_lastEvent && *event->id <= m_lastEvent)
            co_return false;
        if (!m_begun) {
            m_begun = true;
            m_pipe->begin(head);
        }
        m_pipe->append(event->bytes);
        if (event->id)
            m_lastEvent = *event->id;
        m_post(event::EventDelivered { m_order.attempt, m_lastEvent });
        if (m_cancelled)
            co_return false;
    }
    co_return true;
}

} // namespace crocusmount::relay
