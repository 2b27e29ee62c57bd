#pragma once

#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <string>

namespace crocusmount {

/// Parses "ip:port" or "[ipv6]:port".
/// @return the endpoint, or InvalidArgument with the text
template <typename Protocol>
absl::StatusOr<net::ip::basic_endpoint<Protocol>> parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return absl::InvalidArgumentError("'" + text + "' is not ip:port");
    std::string host = text.substr(0, colon);
    if (host.size() > 1 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = net::ip::make_address(host, error);
    const std::string portText = text.substr(colon + 1);
    const bool isNumber
        = !portText.empty() && portText.size() <= 5 && portText.find_first_not_of("0123456789") == std::string::npos;
    const unsigned long port = isNumber ? std::stoul(portText) : 65536;
    if (error || port > 65535)
        return absl::InvalidArgumentError("'" + text + "' is not ip:port");
    return net::ip::basic_endpoint<Protocol>(address, static_cast<unsigned short>(port));
}

/// @return whether a text is an endpoint to which something can be sent: port 0 only lets the system choose one
template <typename Protocol>
bool isReachableEndpoint(const std::string& text)
{
    const auto endpoint = parseEndpoint<Protocol>(text);
    return endpoint.ok() && endpoint->port();
}

} // namespace crocusmount
