#include "edge/FrontServer.h"

#include "edge/DecisionLog.h"
#include "edge/RelayNode.h"
#include "shell/ClientConnections.h"
#include "shell/Listener.h"
#include "shell/ProcessLimits.h"
#include "shell/RequestDecoder.h"
#include "shell/RequestReading.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <set>

namespace crocusmount::relay {

namespace {

    constexpr auto asTuple = net::as_tuple(useAwaitable);
    constexpr int ListenBacklog = 1024;
    /// Longest time for one write to a caller, who may have stopped reading.
    constexpr std::chrono::seconds WriteTimeout { 10 };
    /// Delay before the next accept() after one failed, for example for lack of file descriptors.
    constexpr std::chrono::milliseconds AcceptRetryDelay { 50 };
    /// Longest wait for the call of a connection that is rejected.
    constexpr std::chrono::seconds RejectionTimeout { 1 };
    /// When a caller may return whose call found no memory or no connection.
    constexpr Duration BusyRetryDelay = std::chrono::milliseconds(200);

    std::chrono::milliseconds toMilliseconds(Duration duration)
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
            // A caller does not repeat a request after status 400. That status would deny that the request ran, so a
            // request that may have run is answered with status 502.
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

    /// An answer that this instance gives instead of a backend server.
    struct InstanceAnswer {
        unsigned status = 503;
        std::string reason; ///< cause of the refusal, sent to the caller
        RunState run = RunState::NotRun; ///< whether the call may have run on a backend server
        Duration retryAfter {}; ///< zero: no Retry-After header is sent
    };

    /// Appends the status line.
    void appendStatusLine(std::string& out, unsigned status, std::string_view reason)
    {
        const auto standard = http::obsolete_reason(static_cast<http::status>(status));
        absl::StrAppend(&out, "HTTP/1.1 ", status, " ");
        out.append(reason.empty() ? std::string_view(standard) : reason);
        out.append("\r\n");
    }

    /// Appends the status line and the headers, without the blank line that ends the head.
    void appendHead(std::string& out, const AnswerHead& head)
    {
        appendStatusLine(out, head.status, head.reason);
        for (const auto& [name, value] : head.headers)
            absl::StrAppend(&out, name, ": ", value, "\r\n");
    }

    /// Appends a chunk of the chunked transfer coding. An empty chunk would end the body and is left out.
    void appendChunk(std::string& out, std::string_view bytes)
    {
        if (bytes.empty())
            return;
        absl::StrAppendFormat(&out, "%x\r\n", bytes.size());
        out.append(bytes);
        out.append("\r\n");
    }

} // namespace

/// State that the server shares with its connections, which may outlive the server.
struct FrontServer::Shared {
    net::io_context& context;
    Acceptor acceptor;
    RelayNode& node;
    const CallReader& reader;
    std::shared_ptr<ClientConnections> clients;
    std::size_t connectionCount = 0; ///< open connections
    std::size_t busyCalls = 0; ///< calls that were read and whose answers are not yet written
    std::size_t activeConnections = 0; ///< see FrontServer::activeConnections()
    std::uint64_t requestsCutOff = 0; ///< connections that ended inside a request
    std::uint64_t answersUnwritten = 0; ///< final answers that could not be written as a whole
    bool isCloseAnnounced = false; ///< announceClose() was called
    std::set<Connection*> idleConnections; ///< connections that wait for a call
};

/// Serves the calls on one caller's connection, one after another.
class FrontServer::Connection : public std::enable_shared_from_this<FrontServer::Connection> {
public:
    /// @param isRejected  the only call of the connection is to be refused
    Connection(std::shared_ptr<Shared> shared, TcpStream::socket_type socket, std::unique_ptr<ClientConnection> client,
        bool isRejected)
        : m_shared(std::move(shared))
        , m_stream(std::move(socket))
        , m_idleTimer(m_shared->context.get_executor())
        , m_client(std::move(client))
        , m_isRejected(isRejected)
    {
        ++m_shared->connectionCount;
        ++m_shared->activeConnections;
        m_client->setOnEnded([this] { stopIo(); });
    }
    ~Connection()
    {
        setActive(false);
        --m_shared->connectionCount;
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Ends the wait for a call and thereby the connection, unless bytes of a call have arrived: that call is answered.
    void cancelIdleWait()
    {
        boost::system::error_code ignored;
        if (!m_stream.socket().available(ignored))
            m_stream.socket().cancel(ignored);
    }

    /// @return whether the connection waits for its first call, and has done so for less than a time
    bool isNewFor(std::chrono::milliseconds time) const
    {
        return !m_hasReceivedCall && Clock::now() < m_idleSince + time;
    }

    Awaitable<void> serve()
    {
        boost::system::error_code ignored;
        m_stream.socket().set_option(Tcp::no_delay(true), ignored);
        bool isOpen = true;
        while (isOpen)
            isOpen = co_await serveOne();
        setActive(false);
        if (m_lingers)
            co_await lingerUntilClosed(m_stream, *m_client);
        if (!m_resetsOnClose)
            m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        m_stream.close();
    }

private:
    using Clock = std::chrono::steady_clock;

    /// Reads one call and writes its answer.
    /// @return whether the connection stays open
    Awaitable<bool> serveOne()
    {
        if (!m_decoder.hasBytes() && !co_await waitForCall())
            co_return false;
        if (m_isRejected || m_client->isEnded()) {
            co_await refuseBusy(m_isRejected ? ClientRefusal::ConnectionsFull : m_client->cause());
            co_return false;
        }
        const CallLimits limits = m_shared->node.limits();
        const ClientLimits& processLimits = m_client->limits();
        m_decoder.begin({ std::min(limits.headerBytes, processLimits.maxHeadBytes()),
            std::min(limits.bodyBytes, processLimits.maxBodyBytes()) });
        auto error = co_await readRequest(limits);
        // A timeout closes the socket, so that no answer can be written to a caller that sends too slowly.
        if (error == net::error::connection_reset || error == beast::error::timeout) {
            ++m_shared->requestsCutOff;
            if (error == beast::error::timeout)
                m_client->record(ClientRefusal::TooSlow);
            DecisionLog::call("request_cut_off", m_decoder.request()[m_shared->node.headerNames().callId],
                { { "error", error.message() }, { "has_head", m_decoder.isHeadDone() } });
            co_return false;
        }
        if (!error && !m_client->run(m_decoder.heldBytes()))
            error = net::error::no_memory;
        if (error == net::error::no_memory) {
            co_await refuseBusy(m_client->cause());
            co_return false;
        }
        if (error) {
            co_await refuseUnreadable(error);
            co_return false;
        }
        auto request = std::make_shared<CallerRequest>(m_decoder.release());
        const bool keepAlive = request->keep_alive();
        const bool written = co_await answerCall(std::move(request), keepAlive);
        co_return written&& keepAlive && !m_closesAfterAnswer && !m_client->isEnded();
    }

    /// Waits for the first bytes of a call.
    /// @return false if the connection is to be closed
    Awaitable<bool> waitForCall()
    {
        m_client->waitForRequest();
        setActive(!m_hasReceivedCall);
        if (m_isRejected) {
            m_stream.expires_after(RejectionTimeout);
        } else {
            m_stream.expires_never();
            m_idleSince = Clock::now();
            m_shared->idleConnections.insert(this);
            watchIdleTimeout();
        }
        const auto [error, count] = co_await m_stream.async_read_some(m_decoder.prepare(), asTuple);
        m_shared->idleConnections.erase(this);
        m_idleTimer.cancel();
        if (!error) {
            m_decoder.commit(count);
            m_hasReceivedCall = true;
            setActive(true);
        }
        boost::system::error_code ignored;
        co_return !error || (m_client->isEnded() && m_stream.socket().available(ignored));
    }

    /// Counts the connection among the active ones, or no more.
    void setActive(bool isActive)
    {
        if (isActive == std::exchange(m_isActive, isActive))
            return;
        m_shared->activeConnections += isActive ? 1 : -1;
    }

    /// Ends the wait for a call when the idle timeout in force has passed. Configurations may raise it during the wait.
    void watchIdleTimeout()
    {
        m_idleTimer.expires_at(m_idleSince + toMilliseconds(m_shared->node.limits().idleTimeout));
        m_idleTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (error || !self->m_shared->idleConnections.contains(self.get()))
                return;
            if (Clock::now() < self->m_idleSince + toMilliseconds(self->m_shared->node.limits().idleTimeout))
                self->watchIdleTimeout();
            else
                self->cancelIdleWait();
        });
    }

    /// Reads the head and the body. Sends "100 Continue" between them to a caller that expects it.
    Awaitable<boost::system::error_code> readRequest(const CallLimits& limits)
    {
        m_stream.expires_after(toMilliseconds(limits.headerTimeout));
        boost::system::error_code error = co_await readRequestPart(m_stream, m_decoder, *m_client, RequestPart::Head);
        if (error || !m_decoder.isBodyDue())
            co_return error;
        if (!m_client->hasRoomFor(m_decoder.announcedBodyBytes())) {
            m_client->record(ClientRefusal::MemoryFull);
            co_return net::error::no_memory;
        }
        if (m_decoder.request()[http::field::expect] == "100-continue") {
            static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
            std::size_t count = 0;
            std::tie(error, count) = co_await net::async_write(m_stream, net::buffer(continueResponse), asTuple);
        }
        m_stream.expires_after(toMilliseconds(limits.idleTimeout));
        if (!error)
            error = co_await readRequestPart(m_stream, m_decoder, *m_client, RequestPart::Whole);
        co_return error;
    }

    /// Refuses a call that was not read as a whole, because other callers hold the memory or the connections.
    Awaitable<void> refuseBusy(ClientRefusal cause)
    {
        if (m_isRejected)
            m_client->record(cause);
        const InstanceAnswer answer { 503, std::string(toString(cause)), RunState::NotRun, BusyRetryDelay };
        co_await refuseUnread(answer);
    }

    /// Writes the answer to a request that is not read further, and closes the connection after that.
    Awaitable<void> refuseUnread(const InstanceAnswer& answer)
    {
        m_closesAfterAnswer = true;
        m_client->beginClose();
        m_decoder.clear();
        const std::string noCallId;
        m_lingers = co_await writeInstanceAnswer(answer, noCallId);
    }

    /// Answers a request that could not be read.
    Awaitable<void> refuseUnreadable(const boost::system::error_code& error)
    {
        InstanceAnswer answer;
        answer.reason = "malformed_request";
        answer.status = 400;
        ClientRefusal reason = ClientRefusal::Malformed;
        if (error == http::error::header_limit) {
            answer.status = 431;
            reason = ClientRefusal::HeadTooLong;
        } else if (error == http::error::body_limit) {
            answer.status = 413;
            reason = ClientRefusal::BodyTooLong;
        }
        m_client->record(reason);
        DecisionLog::call("unread", "-", { { "status", answer.status }, { "error", error.message() } });
        co_await refuseUnread(answer);
    }

    /// Passes a request to the RelayNode and writes the answer.
    /// @return whether the whole answer was written
    Awaitable<bool> answerCall(std::shared_ptr<CallerRequest> request, bool keepAlive)
    {
        const std::string callId((*request)[m_shared->node.headerNames().callId]);
        constexpr unsigned Http11 = 11;
        m_acceptsChunks = request->version() >= Http11;
        m_closesAfterAnswer = m_shared->isCloseAnnounced || !keepAlive;
        if (request->method() == http::verb::unknown) {
            const InstanceAnswer unknownMethod { 501, "unknown_method", RunState::NotRun, Duration(0) };
            co_return co_await writeInstanceAnswer(unknownMethod, callId);
        }
        auto spec = m_shared->reader.read(request->base(), request->target());
        if (!spec.ok()) {
            InstanceAnswer malformed { 400, std::string(spec.status().message()), RunState::NotRun, Duration(0) };
            co_return co_await writeInstanceAnswer(malformed, callId);
        }
        ++m_shared->busyCalls;
        m_stream.expires_never();
        const RelayNode::CallHandle call = m_shared->node.openCall(std::move(request), *std::move(spec));
        watchForClose(call);
        m_pipe = call.pipe;
        m_keptBytes = 0;
        m_pipe->setOnKept([this](std::size_t bytes) {
            m_keptBytes = bytes;
            if (!m_client->keepAnswer(m_keptBytes + m_writingBytes))
                stopIo();
        });
        const bool written = co_await relayAnswer(call, callId);
        m_pipe->setOnKept(nullptr);
        m_pipe.reset();
        if (m_writeError && !m_shared->node.isOpen(call.id)) {
            ++m_shared->answersUnwritten;
            DecisionLog::call("answer_unwritten", callId, { { "error", m_writeError.message() } });
        }
        m_closeWatchCancellation.emit(net::cancellation_type::all);
        m_shared->node.callerLeft(call.id, m_writeError.message());
        --m_shared->busyCalls;
        co_return written;
    }

    /// Ends the call if the caller closes its side of the connection before the answer is complete.
    void watchForClose(const RelayNode::CallHandle& call)
    {
        m_stream.socket().async_wait(Tcp::socket::wait_read,
            net::bind_cancellation_slot(m_closeWatchCancellation.slot(),
                [self = shared_from_this(), call](const boost::system::error_code& error) {
                    if (error)
                        return;
                    boost::system::error_code availableError;
                    // Readable without data means that the caller closed. Data would be the caller's next request.
                    if (self->m_stream.socket().available(availableError) && !availableError)
                        return;
                    call.pipe->abandon();
                    self->m_shared->node.callerLeft(call.id, "closed");
                }));
    }

    /// Ends the read, the write or the wait for an answer that is in progress.
    void stopIo()
    {
        if (m_pipe)
            m_pipe->abandon();
        boost::system::error_code ignored;
        m_stream.socket().cancel(ignored);
    }

    /// Writes the answer that arrives through the call's pipe.
    /// @return whether the whole answer was written
    Awaitable<bool> relayAnswer(const RelayNode::CallHandle& call, const std::string& callId)
    {
        bool isHeadWritten = false;
        while (true) {
            AnswerPipe::Batch batch = co_await call.pipe->next();
            if (call.pipe->isAbandoned())
                co_return false;
            if (batch.refusal && !isHeadWritten)
                co_return co_await writeRefusal(*batch.refusal, callId);
            if (batch.wholeAnswer && !isHeadWritten)
                co_return co_await writeWhole(*batch.wholeAnswer);
            std::string out;
            if (batch.head && !isHeadWritten) {
                isHeadWritten = true;
                appendHead(out, *batch.head);
                beginStreamBody(out);
            }
            if (m_acceptsChunks)
                appendChunk(out, batch.bytes);
            else
                out.append(batch.bytes);
            if (batch.hasEnded && m_acceptsChunks)
                out.append("0\r\n\r\n");
            if (!out.empty() && !co_await write(out))
                co_return false;
            if (batch.isBroken || batch.refusal || batch.wholeAnswer)
                co_return false;
            if (batch.hasEnded) {
                setResetOnClose(false);
                co_return true;
            }
        }
    }

    /// Appends the end of a stream's head. The connection of a caller that knows no chunks is reset unless the stream
    /// is complete: closed in order, also by the system if this process ends, it would mark the end of the stream.
    void beginStreamBody(std::string& out)
    {
        m_closesAfterAnswer = m_closesAfterAnswer || !m_acceptsChunks;
        setResetOnClose(!m_acceptsChunks);
        appendConnectionHeader(out);
        out.append(m_acceptsChunks ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    }

    /// Sets whether the connection is reset, instead of closed in order, when its socket is closed.
    void setResetOnClose(bool resets)
    {
        if (resets == std::exchange(m_resetsOnClose, resets))
            return;
        boost::system::error_code ignored;
        m_stream.socket().set_option(net::socket_base::linger(resets, 0), ignored);
    }

    void appendConnectionHeader(std::string& out) const
    {
        if (m_closesAfterAnswer)
            out.append("Connection: close\r\n");
    }

    Awaitable<bool> writeWhole(const WholeAnswer& answer)
    {
        std::string out;
        appendHead(out, answer.head);
        appendConnectionHeader(out);
        absl::StrAppend(&out, "Content-Length: ", answer.body.size(), "\r\n\r\n");
        out.append(answer.body);
        co_return co_await write(out);
    }

    Awaitable<bool> writeRefusal(const effect::Refuse& refusal, const std::string& callId)
    {
        // A named variable is needed, because g++ 12 destroys temporaries of a co_await expression twice.
        const InstanceAnswer answer { statusOf(refusal), toString(refusal.reason), refusal.run, refusal.retryAfter };
        co_return co_await writeInstanceAnswer(answer, callId);
    }

    Awaitable<bool> writeInstanceAnswer(const InstanceAnswer& answer, const std::string& callId)
    {
        std::string out;
        appendStatusLine(out, answer.status, {});
        if (!callId.empty())
            absl::StrAppend(&out, m_shared->node.headerNames().callId, ": ", callId, "\r\n");
        if (answer.run == RunState::NotRun && answer.retryAfter.count() > 0)
            absl::StrAppendFormat(&out, "Retry-After: %.2f\r\n", double(answer.retryAfter.count()) / 1e6);
        appendConnectionHeader(out);
        boost::json::object problem { { "type", "about:blank" }, { "status", answer.status },
            { "reason", answer.reason }, { "run", toString(answer.run) } };
        const std::string body = boost::json::serialize(problem);
        absl::StrAppend(
            &out, "Content-Type: application/problem+json\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
        co_return co_await write(out);
    }

    /// @return whether all bytes were written in time
    Awaitable<bool> write(const std::string& out)
    {
        // A refusal is small, and is written although the connection has been ended.
        m_writingBytes = m_pipe ? out.size() : 0;
        if (m_pipe && !m_client->keepAnswer(m_keptBytes + m_writingBytes)) {
            m_writeError = net::error::no_memory;
            co_return false;
        }
        m_stream.expires_after(WriteTimeout);
        const auto [error, count] = co_await net::async_write(m_stream, net::buffer(out), asTuple);
        m_stream.expires_never();
        m_writeError = error;
        m_writingBytes = 0;
        if (m_pipe)
            m_client->keepAnswer(m_keptBytes);
        co_return !error;
    }

    std::shared_ptr<Shared> m_shared;
    TcpStream m_stream;
    Timer m_idleTimer; ///< ends the wait for a call
    Clock::time_point m_idleSince; ///< start of the latest wait for a call
    RequestDecoder m_decoder;
    std::unique_ptr<ClientConnection> m_client;
    bool m_isRejected;
    bool m_hasReceivedCall = false; ///< bytes of a call have arrived on the connection
    bool m_isActive = true; ///< see FrontServer::activeConnections()
    bool m_lingers = false; ///< the caller may still send; the close waits until it has read the answer
    net::cancellation_signal m_closeWatchCancellation; ///< ends the wait for the caller's close
    boost::system::error_code m_writeError; ///< of the latest write
    std::shared_ptr<AnswerPipe> m_pipe; ///< of the call that runs; null: none
    std::size_t m_keptBytes = 0; ///< of the answer, not yet passed to write()
    std::size_t m_writingBytes = 0; ///< of the answer, in the current write
    bool m_closesAfterAnswer = false; ///< the current answer is the last on this connection, and says so
    bool m_acceptsChunks = true; ///< the current caller knows the chunked transfer coding, which HTTP/1.0 lacks
    bool m_resetsOnClose = false; ///< closing the socket resets the connection
};

FrontServer::FrontServer(std::shared_ptr<Shared> shared)
    : m_shared(std::move(shared))
{
}

FrontServer::~FrontServer() { stopAccepting(); }

absl::StatusOr<std::unique_ptr<FrontServer>> FrontServer::make(net::io_context& context, const std::string& address,
    RelayNode& node, const CallReader& reader, std::shared_ptr<ClientConnections> clients)
{
    if (!clients)
        clients = std::make_shared<ClientConnections>(ProcessLimits::ofSystem().forClients());
    auto acceptor = listenOn(context, address, ListenBacklog, clients->limits().receiveBufferBytes);
    if (!acceptor.ok())
        return acceptor.status();
    auto shared = std::make_shared<Shared>(Shared { context, *std::move(acceptor), node, reader, std::move(clients) });
    net::co_spawn(context.get_executor(), acceptLoop(shared), net::detached);
    return std::unique_ptr<FrontServer>(new FrontServer(std::move(shared)));
}

void FrontServer::announceClose() { m_shared->isCloseAnnounced = true; }

void FrontServer::closeIdle(std::chrono::milliseconds firstCallTime)
{
    for (Connection* connection : std::set<Connection*>(m_shared->idleConnections)) {
        if (!connection->isNewFor(firstCallTime))
            connection->cancelIdleWait();
    }
}

void FrontServer::stopAccepting()
{
    boost::system::error_code ignored;
    m_shared->acceptor.close(ignored);
}

std::size_t FrontServer::connections() const { return m_shared->connectionCount; }

std::size_t FrontServer::busyCalls() const { return m_shared->busyCalls; }

std::size_t FrontServer::activeConnections() const { return m_shared->activeConnections; }

std::uint64_t FrontServer::requestsCutOff() const { return m_shared->requestsCutOff; }

std::uint64_t FrontServer::answersUnwritten() const { return m_shared->answersUnwritten; }

Awaitable<void> FrontServer::acceptLoop(std::shared_ptr<Shared> shared)
{
    Timer retryTimer(shared->context.get_executor());
    while (shared->acceptor.is_open()) {
        auto [error, socket] = co_await shared->acceptor.async_accept(asTuple);
        if (error == net::error::operation_aborted || !shared->acceptor.is_open())
            co_return;
        if (error) {
            // accept() failed, for example for lack of file descriptors. Open connections are still served, so try
            // again after a delay.
            retryTimer.expires_after(AcceptRetryDelay);
            co_await retryTimer.async_wait(asTuple);
            continue;
        }
        ClientConnections::Opened opened = shared->clients->open();
        if (!opened.connection)
            continue;
        const bool isRejected = opened.entry == ClientAccount::Entry::Rejected;
        auto connection
            = std::make_shared<Connection>(shared, std::move(socket), std::move(opened.connection), isRejected);
        net::co_spawn(
            shared->context.get_executor(), [connection]() { return connection->serve(); }, net::detached);
    }
}

} // namespace crocusmount::relay
