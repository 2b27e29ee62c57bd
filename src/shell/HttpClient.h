#pragma once

#include "shell/Net.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusmount {

/// How far a call came; decides whether the other side can have acted on it.
enum class CallPhase {
    NotConnected, ///< no byte was sent
    Sent, ///< bytes were sent, no whole answer came
    Answered,
};

struct HttpCall {
    std::string address; ///< "ip:port"
    http::verb verb = http::verb::get;
    std::string target = "/";
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds timeout { 2000 };
    bool probed = false; ///< TCP probes an idle connection and resets it after two to three seconds of silence
    bool freshConnection = false; ///< never an idle one, which the other side may have closed
};

struct HttpAnswer {
    CallPhase phase = CallPhase::NotConnected;
    unsigned status = 0;
    std::string body;
    std::string contentType;
    std::string error; ///< empty if answered
    bool refused = false; ///< the other machine says that nobody listens there
    bool silent = false; ///< not answered because of a time limit, this call's or TCP's
    std::map<std::string, std::string> headers; ///< names in lower case
};

/// Calls HTTP servers and keeps idle connections to them.
class HttpClient {
public:
    explicit HttpClient(net::io_context&);
    ~HttpClient();

    Awaitable<HttpAnswer> call(HttpCall);

    /// Receives the body of a streamed answer as it comes.
    /// @return false to stop reading
    using Receive = std::function<bool(std::string_view)>;

    /// Lets another part of the program close a streamed call.
    class Handle {
    public:
        void cancel();

    private:
        friend class HttpClient;
        std::shared_ptr<TcpStream> m_stream;
        bool m_cancelled = false;
    };

    /// Sends a call and hands the body over in pieces if the status is 200; otherwise the answer has the body.
    /// @param silence  longest time without a byte; zero: no limit
    Awaitable<HttpAnswer> stream(HttpCall, std::chrono::milliseconds silence, Receive, std::shared_ptr<Handle>);

private:
    struct Connected {
        std::shared_ptr<TcpStream> stream;
        bool reused = false;
        std::string error;
        bool refused = false;
    };

    Awaitable<Connected> connect(const HttpCall&);
    void keep(const std::string& address, std::shared_ptr<TcpStream>);

    net::io_context& m_context;
    std::map<std::string, std::vector<std::shared_ptr<TcpStream>>> m_idle;
};

} // namespace crocusmount
