#include "edge/FrontServer.h"

#include "edge/DecisionLog.h"
#include "edge/RelayNode.h"
#include "shell/Listener.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <set>

namespace crocusmount::relay {

namespace {

    constexpr auto asTuple = net::as_tuple(useAwaitable);
    constexpr int ListenBacklog = 1024;
    /// Longest write to a caller that does not read.
    constexpr std::chrono::seconds WriteLimit { 10 };
    /// After an error of accept() other than the end, such as a lack of descriptors.
    constexpr std::chrono::milliseconds PauseAfterAcceptError { 50 };

    std::chrono::milliseconds toMs(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    }

    unsigned statusOf(const effect::Refuse& refusal)
    {
        switch (refusal.reason) {
        case Reason::UnknownRoute:
            return 404;
        case Reason::UnknownKey:
            return 401;
        case Reason::CrashesServers:
            // Callers do not send it again after this status. Where it has run, the answer must not deny that.
            if (refusal.run == RunState::NotRun)
                return 400;
            break;
        default:
            break;
        }
        if (refusal.run == RunState::NotRun)
            return 503;
        return refusal.reason == Reason::TimedOut ? 504 : 502;
    }

    /// An answer of this instance's own.
    struct OwnAnswer {
        unsigned status = 503;
        std::string reason;
        RunState run = RunState::NotRun;
        Duration retryAfter {};
    };

    void appendHead(std::string& out, unsigned status, std::string_view reason)
    {
        const auto standard = http::obsolete_reason(static_cast<http::status>(status));
        absl::StrAppend(&out, "HTTP/1.1 ", status, " ");
        out.append(reason.empty() ? std::string_view(standard) : reason);
        out.append("\r\n");
    }

    void appendHeaders(std::string& out, const AnswerHead& head)
    {
        appendHead(out, head.status, head.reason);
        for (const auto& [name, value] : head.headers)
            absl::StrAppend(&out, name, ": ", value, "\r\n");
    }

    void appendChunk(std::string& out, std::string_view bytes)
    {
        if (bytes.empty())
            return;
        absl::StrAppendFormat(&out, "%x\r\n", bytes.size());
        out.append(bytes);
        out.append("\r\n");
    }

} // namespace

struct FrontServer::Shared {
    net::io_context& context;
    Acceptor acceptor;
    RelayNode& node;
    const CallReader& reader;
    std::size_t connections = 0;
    std::size_t busy = 0;
    bool closing = false;
    std::set<Connection*> idle; ///< those that wait for a call
};

/// One caller's connection.
class FrontServer::Connection : public std::enable_shared_from_this<FrontServer::Connection> {
public:
    explicit Connection(std::shared_ptr<Shared> shared)
        : m_shared(std::move(shared))
        , m_stream(m_shared->context.get_executor())
    {
        ++m_shared->connections;
    }
    ~Connection() { --m_shared->connections; }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    TcpStream& stream() { return m_stream; }
    /// Ends the wait for a call. Bytes that have come by then are still read and answered.
    void stopWaiting()
    {
        boost::system::error_code ignored;
        if (!m_stream.socket().available(ignored))
            m_stream.socket().cancel(ignored);
    }

    Awaitable<void> serve()
    {
        boost::system::error_code ignored;
        m_stream.socket().set_option(Tcp::no_delay(true), ignored);
        bool open = true;
        while (open)
            open = co_await serveOne();
        m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        m_stream.close();
    }

private:
    using Parser = http::request_parser<http::string_body>;

    /// @return whether the connection stays open
    Awaitable<bool> serveOne()
    {
        const CallLimits limits = m_shared->node.limits();
        if (!m_buffer.size() && !co_await waitForBytes(limits))
            co_return false;
        Parser parser;
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        const auto error = co_await readRequest(parser, limits);
        // After its time the stream has closed the socket, and a slow caller cannot be told.
        if (error == http::error::end_of_stream || error == net::error::connection_reset
            || error == beast::error::timeout)
            co_return false;
        if (error) {
            co_await refuseUnread(error);
            co_return false;
        }
        auto request = std::make_shared<CallerRequest>(parser.release());
        const bool keepAlive = request->keep_alive();
        const bool written = co_await answer(std::move(request), keepAlive);
        co_return written&& keepAlive && !m_closeAnnounced;
    }

    Awaitable<bool> waitForBytes(const CallLimits& limits)
    {
        m_stream.expires_after(toMs(limits.idleTimeout));
        m_shared->idle.insert(this);
        const auto [error, count] = co_await m_stream.async_read_some(m_buffer.prepare(4096), asTuple);
        m_shared->idle.erase(this);
        if (error)
            co_return false;
        m_buffer.commit(count);
        co_return true;
    }

    Awaitable<boost::system::error_code> readRequest(Parser& parser, const CallLimits& limits)
    {
        m_stream.expires_after(toMs(limits.headerTimeout));
        auto [error, count] = co_await http::async_read_header(m_stream, m_buffer, parser, asTuple);
        if (error)
            co_return error;
        if (parser.get()[http::field::expect] == "100-continue" && !parser.is_done()) {
            static constexpr std::string_view goOn = "HTTP/1.1 100 Continue\r\n\r\n";
            std::tie(error, count) = co_await net::async_write(m_stream, net::buffer(goOn), asTuple);
        }
        m_stream.expires_after(toMs(limits.idleTimeout));
        if (!error && !parser.is_done())
            std::tie(error, count) = co_await http::async_read(m_stream, m_buffer, parser, asTuple);
        co_return error;
    }

    Awaitable<void> refuseUnread(const boost::system::error_code& error)
    {
        OwnAnswer answer;
        answer.reason = "malformed_request";
        answer.status = 400;
        if (error == http::error::header_limit)
            answer.status = 431;
        else if (error == http::error::body_limit)
            answer.status = 413;
        DecisionLog::call("unread", "-", { { "status", answer.status }, { "error", error.message() } });
        m_closeAnnounced = true;
        const std::string noId;
        co_await writeOwn(answer, noId);
    }

    Awaitable<bool> answer(std::shared_ptr<CallerRequest> request, bool keepAlive)
    {
        const std::string callId((*request)[m_shared->node.names().callId]);
        m_closeAnnounced = m_shared->closing || !keepAlive;
        auto spec = m_shared->reader.read(request->base(), request->target());
        if (!spec.ok()) {
            OwnAnswer malformed { 400, std::string(spec.status().message()), RunState::NotRun, Duration(0) };
            co_return co_await writeOwn(malformed, callId);
        }
        ++m_shared->busy;
        m_stream.expires_never();
        const RelayNode::OpenCall call = m_shared->node.open(std::move(request), *std::move(spec));
        watch(call);
        const bool written = co_await relay(call, callId);
        m_stopWatch.emit(net::cancellation_type::all);
        m_shared->node.callerLeft(call.id);
        --m_shared->busy;
        co_return written;
    }

    /// Notices when the caller closes its side before the answer is complete.
    void watch(const RelayNode::OpenCall& call)
    {
        m_stream.socket().async_wait(Tcp::socket::wait_read,
            net::bind_cancellation_slot(
                m_stopWatch.slot(), [self = shared_from_this(), call](const boost::system::error_code& error) {
                    if (error)
                        return;
                    boost::system::error_code failed;
                    // Readable without data: the caller closed. Data would be its next request.
                    if (self->m_stream.socket().available(failed) && !failed)
                        return;
                    call.pipe->abandon();
                    self->m_shared->node.callerLeft(call.id);
                }));
    }

    Awaitable<bool> relay(const RelayNode::OpenCall& call, const std::string& callId)
    {
        bool begun = false;
        while (true) {
            AnswerPipe::Batch batch = co_await call.pipe->next();
            if (call.pipe->abandoned())
                co_return false;
            if (batch.refusal && !begun)
                co_return co_await writeRefusal(*batch.refusal, callId);
            if (batch.whole && !begun)
                co_return co_await writeWhole(*batch.whole);
            std::string out;
            if (batch.head && !begun) {
                begun = true;
                appendHeaders(out, *batch.head);
                appendConnection(out);
                out.append("Transfer-Encoding: chunked\r\n\r\n");
            }
            appendChunk(out, batch.bytes);
            if (batch.ended)
                out.append("0\r\n\r\n");
            if (!out.empty() && !co_await write(out))
                co_return false;
            if (batch.broken || batch.refusal || batch.whole)
                co_return false;
            if (batch.ended)
                co_return true;
        }
    }

    void appendConnection(std::string& out) const
    {
        if (m_closeAnnounced)
            out.append("Connection: close\r\n");
    }

    Awaitable<bool> writeWhole(const WholeAnswer& answer)
    {
        std::string out;
        appendHeaders(out, answer.head);
        appendConnection(out);
        absl::StrAppend(&out, "Content-Length: ", answer.body.size(), "\r\n\r\n");
        out.append(answer.body);
        co_return co_await write(out);
    }

    Awaitable<bool> writeRefusal(const effect::Refuse& refusal, const std::string& callId)
    {
        // A named value: g++ 12 destroys temporaries of a co_await expression twice.
        const OwnAnswer answer { statusOf(refusal), toString(refusal.reason), refusal.run, refusal.retryAfter };
        co_return co_await writeOwn(answer, callId);
    }

    Awaitable<bool> writeOwn(const OwnAnswer& answer, const std::string& callId)
    {
        std::string out;
        appendHead(out, answer.status, {});
        if (!callId.empty())
            absl::StrAppend(&out, m_shared->node.names().callId, ": ", callId, "\r\n");
        if (answer.run == RunState::NotRun && answer.retryAfter.count() > 0)
            absl::StrAppendFormat(&out, "Retry-After: %.2f\r\n", double(answer.retryAfter.count()) / 1e6);
        appendConnection(out);
        boost::json::object problem { { "type", "about:blank" }, { "status", answer.status },
            { "reason", answer.reason }, { "run", toString(answer.run) } };
        const std::string body = boost::json::serialize(problem);
        absl::StrAppend(
            &out, "Content-Type: application/problem+json\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
        co_return co_await write(out);
    }

    Awaitable<bool> write(const std::string& out)
    {
        m_stream.expires_after(WriteLimit);
        const auto [error, count] = co_await net::async_write(m_stream, net::buffer(out), asTuple);
        m_stream.expires_never();
        co_return !error;
    }

    std::shared_ptr<Shared> m_shared;
    TcpStream m_stream;
    beast::flat_buffer m_buffer;
    net::cancellation_signal m_stopWatch;
    bool m_closeAnnounced = false;
};

FrontServer::FrontServer(std::shared_ptr<Shared> shared)
    : m_shared(std::move(shared))
{
}

FrontServer::~FrontServer() { stopAccepting(); }

absl::StatusOr<std::unique_ptr<FrontServer>> FrontServer::make(
    net::io_context& context, const std::string& address, RelayNode& node, const CallReader& reader)
{
    auto acceptor = listenOn(context, address, ListenBacklog);
    if (!acceptor.ok())
        return acceptor.status();
    auto shared = std::make_shared<Shared>(Shared { context, *std::move(acceptor), node, reader });
    net::co_spawn(context.get_executor(), acceptLoop(shared), net::detached);
    return std::unique_ptr<FrontServer>(new FrontServer(std::move(shared)));
}

void FrontServer::announceClose() { m_shared->closing = true; }

void FrontServer::closeIdle()
{
    for (Connection* connection : std::set<Connection*>(m_shared->idle))
        connection->stopWaiting();
}

void FrontServer::stopAccepting()
{
    boost::system::error_code ignored;
    m_shared->acceptor.close(ignored);
}

std::size_t FrontServer::connections() const { return m_shared->connections; }

std::size_t FrontServer::busy() const { return m_shared->busy; }

Awaitable<void> FrontServer::acceptLoop(std::shared_ptr<Shared> shared)
{
    Timer pause(shared->context.get_executor());
    while (shared->acceptor.is_open()) {
        auto connection = std::make_shared<Connection>(shared);
        const auto [error] = co_await shared->acceptor.async_accept(connection->stream().socket(), asTuple);
        if (error == net::error::operation_aborted || !shared->acceptor.is_open())
            co_return;
        if (error) {
            // Out of descriptors or the like: others are served, so wait and go on.
            pause.expires_after(PauseAfterAcceptError);
            co_await pause.async_wait(asTuple);
            continue;
        }
        net::co_spawn(
            shared->context.get_executor(), [connection]() { return connection->serve(); }, net::detached);
    }
}

} // namespace crocusmount::relay
