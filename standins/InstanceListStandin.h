#pragma once

#include "shell/HttpServer.h"

#include <string>

namespace crocusmount {

/// Stands in for the platform's list of instances. PUT /v1/instances sets the list, and GET shows the new list only
/// after a lag from the last change.
class InstanceListStandin final : public HttpHandler {
public:
    explicit InstanceListStandin(std::chrono::milliseconds lag);

private:
    Awaitable<void> onExchange(HttpExchange&) override;

    std::chrono::milliseconds m_lag;
    std::string m_visibleList = R"({"instances":[]})"; ///< answer to GET
    std::string m_latestList = m_visibleList; ///< set by the last PUT
    std::chrono::steady_clock::time_point m_changedAt; ///< time of the last PUT
};

} // namespace crocusmount
