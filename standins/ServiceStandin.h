#pragma once

#include "shell/HttpServer.h"

#include <map>
#include <string>

namespace crocusmount {

/// Stands in for a plain service: echoes the body of each call and counts the calls by body.
class ServiceStandin final : public HttpHandler {
public:
    /// @param delay  duration of a call
    ServiceStandin(net::io_context&, std::chrono::milliseconds delay);

private:
    Awaitable<void> onExchange(HttpExchange&) override;

    net::io_context& m_context;
    std::chrono::milliseconds m_delay;
    std::map<std::string, std::uint64_t> m_callsByBody;
    std::uint64_t m_loseReplies = 0; ///< calls to count and leave unanswered
};

} // namespace crocusmount
