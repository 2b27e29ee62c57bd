#pragma once

#include "shell/HttpServer.h"

#include <chrono>

namespace crocusmount {

/// Stands in for the platform's weight store: serves layers at a limited rate, one download after another.
class WeightStoreStandin final : public HttpHandler {
public:
    WeightStoreStandin(net::io_context&, double layersPerSecond);

private:
    Awaitable<void> onExchange(HttpExchange&) override;

    net::io_context& m_context;
    double m_layersPerSecond;
    std::chrono::steady_clock::time_point m_downloadsEndAt; ///< end of the last download accepted
};

} // namespace crocusmount
