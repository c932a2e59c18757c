#pragma once

#include "base/endpoint.hpp"
#include "base/file_descriptor.hpp"

#include <absl/time/time.h>

#include <string>

namespace samphire
{

/// Raw bytes over one loopback connection.
class loopback_client
{
public:
    explicit loopback_client(endpoint server);
    explicit loopback_client(file_descriptor socket);

    void send(std::string const& bytes);
    /// What has come within `time`; ends early when the peer closes.
    std::string receive(absl::Duration time);
    bool closed() const
    {
        return closed_;
    }
    /// Ends the connection by a reset.
    void reset();

private:
    file_descriptor socket_;
    bool closed_{};
};

} // namespace samphire
