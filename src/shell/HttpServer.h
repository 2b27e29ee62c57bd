#pragma once

#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocusmount {

class ClientConnection;
class ClientConnections;

/// Limits of an HTTP server.
struct HttpLimits {
    std::uint32_t headerBytes = 16384; ///< of one request
    std::uint64_t bodyBytes = 1 << 20; ///< of one request
    std::chrono::milliseconds readTimeout { 10000 }; ///< from the first byte of a request to its last
    std::chrono::milliseconds writeTimeout { 10000 }; ///< for one write, which a slow caller delays
    std::chrono::milliseconds idleTimeout { 120000 }; ///< without a byte before a request
    std::uint32_t connections = 20000; ///< open at once, see ClientLimits
    std::uint64_t memoryBytes = 0; ///< memory that the process may use; 0: the machine's
};

/// A response that is sent whole.
struct HttpReply {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    /// Whether the body is known to be whole. Otherwise it is sent without a length, and ends with the connection.
    bool isEndProven = true;
};

/// One HTTP request and its response, sent either by respond() or as a stream by beginStream(), writeChunk() and
/// endStream(). Each function that writes returns false if the write fails or takes longer than the write timeout.
class HttpExchange {
public:
    using Request = http::request<http::string_body>;

    HttpExchange(TcpStream&, Request, std::chrono::milliseconds writeTimeout, ClientConnection&);
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    const Request& request() const { return m_request; }
    /// @return the target of the request without the query
    std::string path() const;
    /// @return the value of a query parameter, not percent-decoded; empty if it is missing
    std::string query(const std::string& name) const;
    /// @return the value of a header; empty if it is missing
    std::string header(const std::string& name) const;

    /// Sends a whole response.
    Awaitable<bool> respond(HttpReply);
    /// Sends status 200 and the headers of a stream. It is chunked, except for a caller with HTTP/1.0, for whom it ends
    /// with the connection. If such a stream is not ended, the connection is reset.
    Awaitable<bool> beginStream(std::string contentType);
    /// Sends the next part of a stream.
    Awaitable<bool> writeChunk(std::string);
    /// Ends a stream as complete.
    Awaitable<bool> endStream();

    /// Sets the function that is called, at most once, if the peer closes its side before the response is complete.
    void setOnPeerClosed(std::function<void()>);
    /// @return whether the connection stays open after the response
    bool keepAlive() const { return m_keepAlive; }
    /// @return whether a whole response was sent
    bool isComplete() const { return m_isComplete; }
    /// @return whether closing the socket resets the connection, because its orderly end would look like the end of the
    ///         response
    bool resetsOnClose() const { return m_resetsOnClose; }
    /// Ends the detection of a close by the peer.
    void stopWatching();
    /// Starts to detect a close by the peer. The detection ends when the peer sends more data, such as its next
    /// request.
    void startWatching();

private:
    /// Shared with the pending wait for a close by the peer, which may complete after the exchange is destroyed.
    struct Watch {
        std::function<void()> onPeerClosed;
        bool isActive = true;
    };

    /// Sets whether closing the socket resets the connection. The system resets it, too, if this process ends.
    void setResetOnClose(bool resets);

    TcpStream& m_stream;
    Request m_request;
    std::chrono::milliseconds m_writeTimeout;
    ClientConnection& m_client;
    std::shared_ptr<Watch> m_watch;
    net::cancellation_signal m_cancelWatch;
    bool m_keepAlive;
    bool m_isComplete = false;
    bool m_acceptsChunks; ///< the caller knows the chunked transfer coding, which HTTP/1.0 lacks
    bool m_resetsOnClose = false;
};

/// Answers the requests of an HttpServer. The server calls handle() once for each request.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    Awaitable<void> handle(HttpExchange& exchange) { return onExchange(exchange); }

private:
    virtual Awaitable<void> onExchange(HttpExchange&) = 0;
};

/// Serves HTTP/1.1 on one address, within HttpLimits.
class HttpServer {
public:
    /// Starts to listen and to accept connections.
    /// @param address  "ip:port"; with port 0 the system chooses a port
    /// @param clients  the connections of all listeners; null: this server's alone, within the limits of the process
    /// @return the server, or the error of listenOn()
    static absl::StatusOr<std::unique_ptr<HttpServer>> make(net::io_context&, const std::string& address, HttpLimits,
        HttpHandler&, std::shared_ptr<ClientConnections> clients = nullptr);
    ~HttpServer();

    /// Stops accepting connections. Open connections are still served.
    void stopAccepting();
    /// @return the number of open connections
    std::size_t connections() const;
    /// @return the number of requests whose response is not completely written
    std::size_t busy() const;
    /// @return "ip:port" with the actual port
    std::string address() const;

private:
    /// Shared with the coroutines, which may outlive the server object.
    struct State;
    explicit HttpServer(std::shared_ptr<State>);
    static Awaitable<void> acceptLoop(std::shared_ptr<State>);
    static Awaitable<void> serve(
        std::shared_ptr<State>, std::shared_ptr<TcpStream>, std::unique_ptr<ClientConnection>, bool isRejected);

    std::shared_ptr<State> m_state;
};

} // namespace crocusmount
