#pragma once

#include "shell/Net.h"

namespace crocusmount {

/// @param header  the head of an answer
/// @return whether the body has a transfer coding other than "chunked", such as one whose name was cut off, so that the
///         end of the body can't be found or the body can't be read
bool hasUnknownTransferCoding(const http::response_header<>& header);

} // namespace crocusmount
