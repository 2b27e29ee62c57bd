#pragma once

#include "shell/Net.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusmount {

/// How far a call has got. Tells whether the server may have acted on it.
enum class CallPhase {
    NotConnected, ///< no byte was sent, so the server has not acted on the call
    Sent, ///< bytes may have been sent, and no complete answer was received
    Answered, ///< a complete answer was received
};

/// A request to an HTTP server.
struct HttpCall {
    std::string address; ///< "ip:port"
    http::verb verb = http::verb::get;
    std::string target = "/";
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    /// Limit of a call() for sending the request and receiving the whole answer, and of a stream() for sending the
    /// request. Connecting has the same limit, but at most one second.
    std::chrono::milliseconds timeout { 2000 };
    /// Enables TCP keepalive on a new connection: it is reset when the peer has been silent for two to three seconds.
    bool probed = false;
    bool freshConnection = false; ///< use no idle connection, because the server may have closed it
    std::uint64_t maxAnswerBytes = 1U << 20U; ///< longest body that a call() keeps; a longer one is an error
};

/// What shows that the body of an answer has ended.
enum class BodyEnd {
    Missing, ///< nothing: no whole answer was received
    Framed, ///< its length, its last chunk, or that such an answer has no body: the server sent all of it
    /// The orderly end of the connection. The system closes the connections of a process that crashes in order, too, so
    /// the body may have been cut off.
    ConnectionClosed,
};

/// The answer to an HttpCall, or the error.
struct HttpAnswer {
    CallPhase phase = CallPhase::NotConnected;
    unsigned status = 0; ///< HTTP status; 0 if no headers were received
    std::string body;
    std::string contentType;
    std::string error; ///< error message; empty if the phase is Answered
    BodyEnd end = BodyEnd::Missing; ///< not Missing only if the phase is Answered
    bool refused = false; ///< the host refused the connection, because no process listens at the address
    bool isTooLong = false; ///< the body exceeds the limit of the call
    bool silent = false; ///< after sending, a call() had no answer within the timeout of the call or of TCP
    std::map<std::string, std::string> headers; ///< by name in lower case; see singleValue()
};

/// HTTP/1.1 client that keeps a bounded number of idle connections for later calls.
class HttpClient {
public:
    static constexpr std::uint64_t DefaultMaxKeptBytes = 64U << 20U;
    static constexpr std::size_t MaxIdleConnections = 256;

    /// @param maxKeptBytes  that all calls together may keep of answers that are not complete
    explicit HttpClient(net::io_context&, std::uint64_t maxKeptBytes = DefaultMaxKeptBytes);
    ~HttpClient();

    /// @return the connections that are kept for later calls, of all addresses
    std::size_t idleConnections() const { return m_idle.size(); }
    /// @return the bytes that calls keep of answers that are not complete
    std::uint64_t keptBytes() const { return m_keptBytes; }

    /// Sends a request and reads the whole answer.
    Awaitable<HttpAnswer> call(HttpCall);

    /// Receives the next bytes of the body of a streamed answer.
    /// @return false to stop reading
    using Receive = std::function<bool(std::string_view)>;

    /// Cancels a streamed call from outside its coroutine.
    class Handle {
    public:
        /// Closes the connection. No more bytes are received.
        void cancel();

    private:
        friend class HttpClient;
        std::shared_ptr<TcpStream> m_stream; ///< null unless the call is connected
        bool m_cancelled = false;
    };

    /// Sends a request. If the status is 200, the body is passed to the receiver in pieces, otherwise it is returned in
    /// the answer.
    /// @param silence  maximum time without a received byte; zero: no limit
    /// @return the answer; its phase is also Answered if the receiver stopped reading
    Awaitable<HttpAnswer> stream(HttpCall, std::chrono::milliseconds silence, Receive, std::shared_ptr<Handle>);

private:
    /// A connection, or the reason why there is none.
    struct ConnectResult {
        std::shared_ptr<TcpStream> stream; ///< null if connecting failed
        bool reused = false; ///< was idle before
        std::string error;
        bool refused = false; ///< see HttpAnswer::refused
    };

    /// Takes an idle connection or opens a new one.
    Awaitable<ConnectResult> connect(const HttpCall&);
    /// Keeps a connection for later calls if another call could use it. Of too many, the one that is idle longest goes.
    void keepIdle(const HttpCall&, std::shared_ptr<TcpStream>);

    /// Reads the rest of a body.
    /// @return an error of the connection, or of a body that is too long or finds no room beside those of other calls
    Awaitable<boost::system::error_code> readBody(
        TcpStream&, beast::flat_buffer&, http::response_parser<http::string_body>&);

    net::io_context& m_context;
    std::uint64_t m_maxKeptBytes;
    std::uint64_t m_keptBytes = 0; ///< see keptBytes()
    struct IdleConnection {
        std::string address;
        std::shared_ptr<TcpStream> stream;
    };
    std::vector<IdleConnection> m_idle; ///< the latest last
};

} // namespace crocusmount
