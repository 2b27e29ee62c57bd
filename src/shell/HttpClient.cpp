#include "shell/HttpClient.h"

#include "shell/AnswerHead.h"
#include "shell/Endpoint.h"
#include "shell/RequestSender.h"
#include "shell/TransferCoding.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <netinet/tcp.h>
#include <optional>

namespace crocusmount {

namespace {

    constexpr auto asTuple = net::as_tuple(useAwaitable);
    /// Limits what a parser leaves unread, such as the extension of a chunk before its end has arrived.
    constexpr std::size_t MaxReadAheadBytes = 128U << 10U;
    /// Longest body of a streamed answer that is kept because its status is an error.
    constexpr std::size_t MaxErrorBodyBytes = 1U << 20U;
    constexpr int MaxInterimAnswers = 8;
    constexpr std::chrono::milliseconds ConnectTimeout { 1000 };

    /// Makes TCP detect a peer that no longer responds within two to three seconds: by keepalive probes while the
    /// connection is idle, and by the user timeout while sent data is not acknowledged. Then TCP closes the connection.
    template <typename Socket>
    void enableKeepAlive(Socket& socket)
    {
        const int enabled = 1;
        const int idleSeconds = 1;
        const int intervalSeconds = 1;
        const int probes = 1;
        const unsigned userTimeoutMs = 2000;
        const int handle = socket.native_handle();
        setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
        setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
    }

    http::request<http::string_body> requestOf(const HttpCall& call)
    {
        http::request<http::string_body> request(call.verb, call.target, 11);
        request.set(http::field::host, call.address);
        if (!call.body.empty())
            request.set(http::field::content_type, call.contentType);
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        request.body() = call.body;
        request.prepare_payload();
        return request;
    }

    template <typename Message>
    void readStatusAndHeaders(const Message& message, HttpAnswer& answer)
    {
        answer.status = message.result_int();
        answer.contentType = std::string(singleValue(message, "Content-Type"));
        for (const auto& field : message) {
            const std::string_view name = field.name_string();
            answer.headers[absl::AsciiStrToLower(std::string(name))] = std::string(singleValue(message, name));
        }
    }

    template <typename Parser>
    BodyEnd endOf(const Parser& parser)
    {
        if (!parser.is_done())
            return BodyEnd::Missing;
        return parser.need_eof() ? BodyEnd::ConnectionClosed : BodyEnd::Framed;
    }

    /// @param error  of the last read of an answer
    /// @return the error, or that of a connection that was reset where the read found an end in order
    template <typename Parser>
    boost::system::error_code endError(
        boost::system::error_code error, const std::optional<Parser>& parser, const RequestSender& sender)
    {
        const bool endsWithConnection = !error && parser && endOf(*parser) == BodyEnd::ConnectionClosed;
        return endsWithConnection && sender.hasConnectionFailed() ? net::error::connection_reset : error;
    }

    /// Reads the head of the answer, after any interim answers, which are ignored.
    /// @param parser     set to a new parser, which also reads the body
    /// @param bodyLimit  longest body that the parser reads, in bytes
    template <typename Parser>
    Awaitable<boost::system::error_code> readHead(TcpStream& stream, beast::flat_buffer& buffer, http::verb verb,
        boost::optional<std::uint64_t> bodyLimit, std::optional<Parser>& parser)
    {
        for (int interimAnswers = 0; interimAnswers <= MaxInterimAnswers; ++interimAnswers) {
            parser.emplace();
            parser->body_limit(bodyLimit);
            parser->skip(verb == http::verb::head);
            const auto [error, count] = co_await http::async_read_header(stream, buffer, *parser, asTuple);
            if (error)
                co_return error;
            const auto& head = parser->get().base();
            const StatusKind kind = kindOfStatus(head.result_int());
            if (kind == StatusKind::Invalid)
                break;
            if (kind == StatusKind::Final)
                co_return hasUnknownTransferCoding(head) ? http::error::bad_transfer_encoding
                                                         : boost::system::error_code();
        }
        co_return http::error::bad_status;
    }

} // namespace

HttpClient::HttpClient(net::io_context& context, std::uint64_t maxKeptBytes)
    : m_context(context)
    , m_maxKeptBytes(maxKeptBytes)
{
}

HttpClient::~HttpClient() = default;

void HttpClient::Handle::cancel()
{
    m_cancelled = true;
    if (m_stream)
        m_stream->close();
}

Awaitable<HttpClient::ConnectResult> HttpClient::connect(const HttpCall& call)
{
    const auto isUsable = [&](const IdleConnection& idle) { return idle.address == call.address; };
    while (!call.freshConnection) {
        const auto latest = std::find_if(m_idle.rbegin(), m_idle.rend(), isUsable);
        if (latest == m_idle.rend())
            break;
        auto stream = latest->stream;
        m_idle.erase(std::next(latest).base());
        // An idle connection that the server has closed is readable. It is dropped.
        boost::system::error_code error;
        char byte = 0;
        stream->socket().non_blocking(true, error);
        stream->socket().receive(net::buffer(&byte, 1), net::socket_base::message_peek, error);
        if (error == net::error::would_block)
            co_return ConnectResult { std::move(stream), true, {} };
    }
    const auto endpoint = parseEndpoint<Tcp>(call.address);
    if (!endpoint.ok())
        co_return ConnectResult { nullptr, false, std::string(endpoint.status().message()) };
    auto stream = std::make_shared<TcpStream>(m_context.get_executor());
    stream->expires_after(std::min(call.timeout, ConnectTimeout));
    const auto [error] = co_await stream->async_connect(*endpoint, asTuple);
    if (error)
        co_return ConnectResult { nullptr, false, error.message(), error == net::error::connection_refused };
    boost::system::error_code ignored;
    stream->socket().set_option(Tcp::no_delay(true), ignored);
    if (call.probed)
        enableKeepAlive(stream->socket());
    co_return ConnectResult { std::move(stream), false, {} };
}

void HttpClient::keepIdle(const HttpCall& call, std::shared_ptr<TcpStream> stream)
{
    if (call.freshConnection) {
        stream->close();
        return;
    }
    stream->expires_never();
    m_idle.push_back({ call.address, std::move(stream) });
    if (m_idle.size() > MaxIdleConnections)
        m_idle.erase(m_idle.begin());
}

Awaitable<boost::system::error_code> HttpClient::readBody(
    TcpStream& stream, beast::flat_buffer& buffer, http::response_parser<http::string_body>& parser)
{
    boost::system::error_code error;
    std::uint64_t keptBytes = 0;
    while (!error && !parser.is_done()) {
        std::size_t count = 0;
        std::tie(error, count) = co_await http::async_read_some(stream, buffer, parser, asTuple);
        const std::uint64_t bytes = parser.get().body().size();
        if (!error && m_keptBytes - keptBytes + bytes > m_maxKeptBytes)
            error = net::error::no_memory;
        if (error)
            break;
        m_keptBytes += bytes - keptBytes;
        keptBytes = bytes;
    }
    m_keptBytes -= keptBytes;
    co_return error;
}

Awaitable<HttpAnswer> HttpClient::call(HttpCall call)
{
    HttpAnswer answer;
    ConnectResult connected = co_await connect(call);
    if (!connected.stream) {
        answer.error = connected.error;
        answer.refused = connected.refused;
        co_return answer;
    }
    TcpStream& stream = *connected.stream;
    answer.phase = CallPhase::Sent;
    stream.expires_after(call.timeout);
    const auto sender = RequestSender::start(stream, connected.stream, requestOf(call));
    beast::flat_buffer buffer(MaxReadAheadBytes);
    std::optional<http::response_parser<http::string_body>> parser;
    auto error = co_await readHead(stream, buffer, call.verb, call.maxAnswerBytes, parser);
    if (!error)
        error = co_await readBody(stream, buffer, *parser);
    error = endError(error, parser, *sender);
    if (error) {
        stream.close();
        answer.error = error.message();
        answer.isTooLong = error == http::error::body_limit;
        // Nothing but the time limit aborts the operations of a call.
        answer.silent = error == beast::error::timeout || error == net::error::timed_out
            || error == net::error::operation_aborted;
        co_return answer;
    }
    answer.phase = CallPhase::Answered;
    answer.end = endOf(*parser);
    readStatusAndHeaders(parser->get(), answer);
    answer.body = std::move(parser->get().body());
    if (parser->get().keep_alive() && sender->isSent())
        keepIdle(call, connected.stream);
    else
        stream.close();
    co_return answer;
}

Awaitable<HttpAnswer> HttpClient::stream(
    HttpCall call, std::chrono::milliseconds silence, Receive receive, std::shared_ptr<Handle> handle)
{
    HttpAnswer answer;
    ConnectResult connected = co_await connect(call);
    if (!connected.stream || (handle && handle->m_cancelled)) {
        answer.error = connected.stream ? "cancelled" : connected.error;
        co_return answer;
    }
    if (handle)
        handle->m_stream = connected.stream;
    TcpStream& stream = *connected.stream;
    const auto restartTimer = [&] {
        if (silence.count())
            stream.expires_after(silence);
        else
            stream.expires_never();
    };
    answer.phase = CallPhase::Sent;
    stream.expires_after(call.timeout);
    const auto sender = RequestSender::start(stream, connected.stream, requestOf(call));
    // The sending begins when this coroutine waits, so the limits of its writes and of the reads are set apart.
    co_await net::post(useAwaitable);
    beast::flat_buffer buffer(MaxReadAheadBytes);
    std::optional<http::response_parser<http::buffer_body>> parser;
    restartTimer();
    auto error = co_await readHead(stream, buffer, call.verb, boost::none, parser);
    if (!error)
        readStatusAndHeaders(parser->get(), answer);
    std::array<char, 16384> chunk {};
    bool wantsMore = true;
    while (!error && wantsMore && !parser->is_done()) {
        parser->get().body().data = chunk.data();
        parser->get().body().size = chunk.size();
        restartTimer();
        std::size_t count = 0;
        std::tie(error, count) = co_await http::async_read_some(stream, buffer, *parser, asTuple);
        if (error == http::error::need_buffer)
            error = {};
        const std::string_view received(chunk.data(), chunk.size() - parser->get().body().size);
        if (handle && handle->m_cancelled)
            error = net::error::operation_aborted;
        else if (answer.status != 200 && answer.body.size() + received.size() > MaxErrorBodyBytes)
            error = http::error::body_limit;
        else if (answer.status != 200)
            answer.body.append(received);
        else if (!received.empty())
            wantsMore = receive(received);
    }
    if (handle)
        handle->m_stream = nullptr;
    error = endError(error, parser, *sender);
    const bool isReusable = !error && parser->is_done() && parser->get().keep_alive() && sender->isSent();
    if (isReusable)
        keepIdle(call, connected.stream);
    else
        stream.close();
    if (error) {
        answer.error = error.message();
        co_return answer;
    }
    answer.phase = CallPhase::Answered;
    answer.end = endOf(*parser);
    co_return answer;
}

} // namespace crocusmount
