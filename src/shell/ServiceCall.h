#pragma once

#include <string>

namespace crocusmount {

/// A call to a plain service. The reducer handles it as the prompt of a request, in JSON.
struct ServiceCall {
    std::string method = "GET";
    std::string target = "/"; ///< path and query
    std::string contentType;
    std::string body;
};

/// The answer of a plain service. The reducer handles it as the only token of an answer, in JSON.
struct ServiceAnswer {
    unsigned status = 200; ///< HTTP status
    std::string contentType;
    std::string body;
    /// Whether the service's length or last chunk shows that the body is whole. An answer that ends with its connection
    /// may have been cut off.
    bool isEndProven = true;
};

std::string toJson(const ServiceCall&);
std::string toJson(const ServiceAnswer&);
/// @param text  result of toJson(); other text throws
ServiceCall serviceCallFromJson(const std::string& text);
ServiceAnswer serviceAnswerFromJson(const std::string& text);

} // namespace crocusmount
