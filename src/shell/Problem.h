#pragma once

#include "crocusmount/Effect.h"
#include "shell/HttpServer.h"

#include <string>

namespace crocusmount {

/// @return the application/problem+json reply for a request that the reducer has failed
HttpReply problemOf(const effect::FailAnswer&);

/// @param reason  also the title
/// @return the application/problem+json reply for a request that was rejected before it reached the reducer
HttpReply problem(unsigned status, const std::string& reason, const std::string& detail);

/// @return the JSON object with the error that ends a stream after its headers were sent
std::string streamErrorOf(const effect::FailAnswer&);

} // namespace crocusmount
