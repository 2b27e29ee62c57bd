#include "shell/HttpServer.h"

#include "shell/ClientConnections.h"
#include "shell/Listener.h"
#include "shell/ProcessLimits.h"
#include "shell/RequestDecoder.h"
#include "shell/RequestReading.h"

#include <absl/strings/str_cat.h>

namespace crocusmount {

namespace {

    constexpr auto asTuple = net::as_tuple(useAwaitable);
    constexpr int ListenBacklog = 4096;
    /// Longest wait for the request of a connection that is rejected.
    constexpr std::chrono::milliseconds RejectionTimeout { 1000 };
    /// Longest time to write a refusal.
    constexpr std::chrono::milliseconds RefusalTimeout { 1000 };

    template <typename Body>
    void setCommonHeaders(http::response<Body>& response, const std::string& contentType)
    {
        response.set(http::field::server, "crocusmount");
        response.set(http::field::content_type, contentType);
    }

    /// Increments a counter on construction and decrements it on destruction.
    class ScopedCount {
    public:
        explicit ScopedCount(std::size_t& counted)
            : m_counted(counted)
        {
            ++m_counted;
        }
        ~ScopedCount() { --m_counted; }
        ScopedCount(const ScopedCount&) = delete;
        ScopedCount& operator=(const ScopedCount&) = delete;

    private:
        std::size_t& m_counted;
    };

    /// Reads a request, at most for the given time. The timer of beast::basic_stream is not used because it closes the
    /// connection, and then the caller could not get a response with status 408.
    /// @return no error, beast::error::timeout, or the error of readRequestPart()
    Awaitable<boost::system::error_code> readRequest(std::shared_ptr<TcpStream> stream, RequestDecoder& decoder,
        ClientConnection& client, std::chrono::milliseconds timeout)
    {
        struct ReadState {
            bool isDone = false;
            bool hasTimedOut = false;
        };
        auto readState = std::make_shared<ReadState>();
        Timer timer(stream->get_executor());
        timer.expires_after(timeout);
        timer.async_wait([stream, readState](const boost::system::error_code& stopped) {
            if (stopped || readState->isDone)
                return;
            readState->hasTimedOut = true;
            boost::system::error_code ignored;
            stream->socket().cancel(ignored);
        });
        stream->expires_never();
        boost::system::error_code error = co_await readRequestPart(*stream, decoder, client, RequestPart::Head);
        if (!error && !client.hasRoomFor(decoder.announcedBodyBytes()))
            error = net::error::no_memory;
        if (!error)
            error = co_await readRequestPart(*stream, decoder, client, RequestPart::Whole);
        readState->isDone = true;
        if (error && readState->hasTimedOut)
            co_return beast::error::timeout;
        co_return error;
    }

    /// A refusal of a request that could not be read.
    struct ReadRefusal {
        unsigned status;
        ClientRefusal reason;
    };

    ReadRefusal refusalOf(const boost::system::error_code& error)
    {
        if (error == http::error::header_limit)
            return { 431, ClientRefusal::HeadTooLong };
        if (error == http::error::body_limit)
            return { 413, ClientRefusal::BodyTooLong };
        if (error == beast::error::timeout)
            return { 408, ClientRefusal::TooSlow };
        if (error == net::error::no_memory)
            return { 503, ClientRefusal::MemoryFull };
        return { 400, ClientRefusal::Malformed };
    }

    /// Refuses a request that was not read as a whole, and closes the connection once the client has had time to read
    /// the answer.
    Awaitable<void> refuse(
        TcpStream& stream, ClientConnection& client, unsigned status, std::string reason, std::string title)
    {
        http::response<http::string_body> response(static_cast<http::status>(status), 11);
        setCommonHeaders(response, "application/problem+json");
        if (status == 503)
            response.set(http::field::retry_after, "1");
        response.body() = absl::StrCat(
            R"({"type":"about:blank","title":")", title, R"(","reason":")", reason, R"(","run":"not_run"})");
        response.keep_alive(false);
        response.prepare_payload();
        client.beginClose();
        stream.expires_after(RefusalTimeout);
        const auto [error, count] = co_await http::async_write(stream, response, asTuple);
        if (!error)
            co_await lingerUntilClosed(stream, client);
    }

} // namespace

// ---- HttpExchange --------------------------------------------------------------------------------------------------

HttpExchange::HttpExchange(
    TcpStream& stream, Request request, std::chrono::milliseconds writeTimeout, ClientConnection& client)
    : m_stream(stream)
    , m_request(std::move(request))
    , m_writeTimeout(writeTimeout)
    , m_client(client)
    , m_watch(std::make_shared<Watch>())
    , m_keepAlive(m_request.keep_alive())
    , m_acceptsChunks(m_request.version() >= 11)
{
}

std::string HttpExchange::path() const
{
    const std::string target(m_request.target());
    return target.substr(0, target.find('?'));
}

std::string HttpExchange::query(const std::string& name) const
{
    const std::string target(m_request.target());
    const auto queryStart = target.find('?');
    std::string remaining = queryStart == std::string::npos ? "" : target.substr(queryStart + 1);
    while (!remaining.empty()) {
        const auto end = remaining.find('&');
        const std::string pair = remaining.substr(0, end);
        if (pair.compare(0, name.size() + 1, name + "=") == 0)
            return pair.substr(name.size() + 1);
        remaining = end == std::string::npos ? "" : remaining.substr(end + 1);
    }
    return {};
}

std::string HttpExchange::header(const std::string& name) const { return std::string(m_request[name]); }

void HttpExchange::setOnPeerClosed(std::function<void()> callback) { m_watch->onPeerClosed = std::move(callback); }

void HttpExchange::startWatching()
{
    auto& socket = m_stream.socket();
    socket.async_wait(Tcp::socket::wait_read,
        net::bind_cancellation_slot(
            m_cancelWatch.slot(), [&socket, watch = m_watch](const boost::system::error_code& error) {
                if (error || !watch->isActive || !watch->onPeerClosed)
                    return;
                boost::system::error_code ignored;
                // If the socket is readable and holds no data, the peer has closed the connection. Data would be the
                // next request of the peer.
                if (!socket.available(ignored))
                    watch->onPeerClosed();
            }));
}

void HttpExchange::stopWatching()
{
    m_watch->isActive = false;
    m_cancelWatch.emit(net::cancellation_type::all);
}

Awaitable<bool> HttpExchange::respond(HttpReply reply)
{
    http::response<http::string_body> response(static_cast<http::status>(reply.status), m_request.version());
    setCommonHeaders(response, reply.contentType);
    for (auto& [name, value] : reply.headers)
        response.set(name, value);
    m_keepAlive = m_keepAlive && reply.isEndProven;
    response.keep_alive(m_keepAlive);
    response.body() = std::move(reply.body);
    if (reply.isEndProven)
        response.prepare_payload();
    if (!m_client.keepAnswer(response.body().size()))
        co_return false;
    m_stream.expires_after(m_writeTimeout);
    const auto [error, count] = co_await http::async_write(m_stream, response, asTuple);
    m_client.keepAnswer(0);
    m_isComplete = !error;
    co_return m_isComplete;
}

Awaitable<bool> HttpExchange::beginStream(std::string contentType)
{
    http::response<http::empty_body> response(http::status::ok, m_request.version());
    setCommonHeaders(response, contentType);
    response.set(http::field::cache_control, "no-store");
    m_keepAlive = m_keepAlive && m_acceptsChunks;
    response.keep_alive(m_keepAlive);
    response.chunked(m_acceptsChunks);
    setResetOnClose(!m_acceptsChunks);
    http::response_serializer<http::empty_body> serializer(response);
    m_stream.expires_after(m_writeTimeout);
    const auto [error, count] = co_await http::async_write_header(m_stream, serializer, asTuple);
    co_return !error;
}

Awaitable<bool> HttpExchange::writeChunk(std::string text)
{
    if (text.empty())
        co_return true; // An empty chunk would end the stream as complete.
    if (!m_client.keepAnswer(text.size()))
        co_return false;
    m_stream.expires_after(m_writeTimeout);
    boost::system::error_code error;
    std::size_t count = 0;
    if (m_acceptsChunks)
        std::tie(error, count) = co_await net::async_write(m_stream, http::make_chunk(net::buffer(text)), asTuple);
    else
        std::tie(error, count) = co_await net::async_write(m_stream, net::buffer(text), asTuple);
    m_client.keepAnswer(0);
    co_return !error;
}

Awaitable<bool> HttpExchange::endStream()
{
    m_isComplete = true;
    if (m_acceptsChunks) {
        m_stream.expires_after(m_writeTimeout);
        const auto [error, count] = co_await net::async_write(m_stream, http::make_chunk_last(), asTuple);
        m_isComplete = !error;
    }
    setResetOnClose(false);
    co_return m_isComplete;
}

void HttpExchange::setResetOnClose(bool resets)
{
    if (resets == std::exchange(m_resetsOnClose, resets))
        return;
    boost::system::error_code ignored;
    m_stream.socket().set_option(net::socket_base::linger(resets, 0), ignored);
}

// ---- HttpServer ----------------------------------------------------------------------------------------------------

struct HttpServer::State {
    net::io_context& context;
    Acceptor acceptor;
    HttpLimits limits;
    HttpHandler& handler;
    std::shared_ptr<ClientConnections> clients;
    std::size_t connections = 0;
    std::size_t busy = 0;
};

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

HttpServer::~HttpServer() { stopAccepting(); }

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::make(net::io_context& context, const std::string& address,
    HttpLimits limits, HttpHandler& handler, std::shared_ptr<ClientConnections> clients)
{
    if (!clients) {
        const ProcessLimits process = ProcessLimits::ofSystem().loweredTo(limits.memoryBytes, 0);
        clients = std::make_shared<ClientConnections>(process.forClients(limits.connections));
    }
    limits.headerBytes = std::min(limits.headerBytes, clients->limits().maxHeadBytes());
    limits.bodyBytes = std::min(limits.bodyBytes, clients->limits().maxBodyBytes());
    auto acceptor = listenOn(context, address, ListenBacklog, clients->limits().receiveBufferBytes);
    if (!acceptor.ok())
        return acceptor.status();
    auto state = std::make_shared<State>(State { context, *std::move(acceptor), limits, handler, std::move(clients) });
    net::co_spawn(context.get_executor(), acceptLoop(state), net::detached);
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

void HttpServer::stopAccepting()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

std::size_t HttpServer::connections() const { return m_state->connections; }

std::size_t HttpServer::busy() const { return m_state->busy; }

std::string HttpServer::address() const
{
    const auto endpoint = m_state->acceptor.local_endpoint();
    return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

Awaitable<void> HttpServer::acceptLoop(std::shared_ptr<State> state)
{
    Timer retryTimer(state->context.get_executor());
    while (state->acceptor.is_open()) {
        auto stream = std::make_shared<TcpStream>(state->context.get_executor());
        const auto [error] = co_await state->acceptor.async_accept(stream->socket(), asTuple);
        if (error == net::error::operation_aborted || !state->acceptor.is_open())
            co_return;
        if (error) {
            // For example no file descriptor is free. Open connections are still served, so the loop accepts
            // again after a short wait.
            retryTimer.expires_after(std::chrono::milliseconds(50));
            co_await retryTimer.async_wait(asTuple);
            continue;
        }
        ClientConnections::Opened opened = state->clients->open();
        if (!opened.connection)
            continue;
        const bool isRejected = opened.entry == ClientAccount::Entry::Rejected;
        boost::system::error_code ignored;
        stream->socket().set_option(Tcp::no_delay(true), ignored);
        net::co_spawn(state->context.get_executor(), serve(state, stream, std::move(opened.connection), isRejected),
            net::detached);
    }
}

Awaitable<void> HttpServer::serve(std::shared_ptr<State> state, std::shared_ptr<TcpStream> stream,
    std::unique_ptr<ClientConnection> client, bool isRejected)
{
    const ScopedCount counted(state->connections);
    const HttpLimits& limits = state->limits;
    client->setOnEnded([socket = &stream->socket()] {
        boost::system::error_code ignored;
        socket->cancel(ignored);
    });
    RequestDecoder decoder;
    bool keepAlive = true;
    bool resetsOnClose = false;
    while (keepAlive) {
        if (!decoder.hasBytes()) {
            client->waitForRequest();
            stream->expires_after(isRejected ? RejectionTimeout : limits.idleTimeout);
            const auto [error, count] = co_await stream->async_read_some(decoder.prepare(), asTuple);
            if (error)
                break;
            decoder.commit(count);
        }
        decoder.begin({ limits.headerBytes, limits.bodyBytes });
        ReadRefusal refusal { 0, ClientRefusal::ConnectionsFull };
        boost::system::error_code error;
        if (isRejected) {
            refusal.status = 503;
        } else {
            error = co_await readRequest(stream, decoder, *client, limits.readTimeout);
            if (error == net::error::connection_reset)
                break;
            if (!error && !client->run(decoder.heldBytes()))
                error = net::error::no_memory;
            if (error)
                refusal = refusalOf(error);
        }
        if (refusal.status) {
            if (!client->isEnded())
                client->record(refusal.reason);
            const bool isFull = refusal.status == 503;
            std::string reason = isRejected ? "too_many_connections" : isFull ? "too_much_memory" : "malformed_request";
            std::string title = isFull ? "too many clients" : error.message();
            decoder.clear();
            co_await refuse(*stream, *client, refusal.status, std::move(reason), std::move(title));
            break;
        }
        HttpExchange exchange(*stream, decoder.release(), limits.writeTimeout, *client);
        stream->expires_never();
        const ScopedCount busy(state->busy);
        exchange.startWatching();
        co_await state->handler.handle(exchange);
        exchange.stopWatching();
        keepAlive = exchange.keepAlive() && exchange.isComplete() && !client->isEnded() && stream->socket().is_open();
        resetsOnClose = exchange.resetsOnClose();
    }
    boost::system::error_code ignored;
    if (!resetsOnClose)
        stream->socket().shutdown(Tcp::socket::shutdown_send, ignored);
    stream->close();
}

} // namespace crocusmount
