#pragma once

#include "relay/CallSpec.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>

namespace crocusmount::relay {

/// Reads the parts of a call's head that the relay needs. Implemented by the platform's adapter.
class CallReader {
public:
    virtual ~CallReader() = default;

    /// @param fields  the request's headers
    /// @param target  the request's target, with its query
    /// @return the call without its content digest, or InvalidArgument whose message tells the caller what is malformed
    absl::StatusOr<CallSpec> read(const http::fields& fields, std::string_view target) const
    {
        return onRead(fields, target);
    }

private:
    virtual absl::StatusOr<CallSpec> onRead(const http::fields&, std::string_view target) const = 0;
};

} // namespace crocusmount::relay
