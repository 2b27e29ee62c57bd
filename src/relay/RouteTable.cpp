#include "relay/RouteTable.h"

#include <absl/strings/match.h>
#include <algorithm>

namespace crocusmount::relay {

std::shared_ptr<const RouteTable> RouteTable::make(ServiceConfiguration configuration)
{
    return std::shared_ptr<const RouteTable>(new RouteTable(std::move(configuration)));
}

RouteTable::RouteTable(ServiceConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route& route : m_configuration.routes)
        m_routesByHost[route.host].push_back(&route);
    for (auto& [host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const Route* a, const Route* b) { return a->prefix.size() > b->prefix.size(); });
    }
    for (const WorkspaceKeys& holder : m_configuration.workspaces) {
        for (const std::string& key : holder.keys)
            m_holderByKey[key] = &holder;
    }
    for (const Service& service : m_configuration.services)
        m_services[service.id.value()] = &service;
}

const Route* RouteTable::route(const std::string& host, const std::string& path) const
{
    const auto found = m_routesByHost.find(host);
    if (found == m_routesByHost.end())
        return nullptr;
    for (const Route* route : found->second) {
        if (absl::StartsWith(path, route->prefix))
            return route;
    }
    return nullptr;
}

const WorkspaceKeys* RouteTable::workspaceByKey(const std::string& key) const
{
    const auto found = m_holderByKey.find(key);
    return found == m_holderByKey.end() ? nullptr : found->second;
}

const Service* RouteTable::service(const ServiceId& id) const
{
    const auto found = m_services.find(id.value());
    return found == m_services.end() ? nullptr : found->second;
}

const ServiceId& RouteTable::pickService(const Route& route, std::uint64_t entropy)
{
    std::uint64_t total = 0;
    for (const TrafficShare& share : route.split)
        total += share.weight;
    std::uint64_t remaining = total ? entropy % total : 0;
    for (const TrafficShare& share : route.split) {
        if (remaining < share.weight)
            return share.service;
        remaining -= share.weight;
    }
    return route.split.back().service;
}

} // namespace crocusmount::relay
