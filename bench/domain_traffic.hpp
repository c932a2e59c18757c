#pragma once

#include "core/product_daemon_core.hpp"
#include "membership/summary_codec.hpp"
#include "virtual_mesh.hpp"
#include "wire/message_codec.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace samphire::fake
{

/// Measures the traffic of membership and configuration in one domain while one
/// daemon is restarted and another one is killed. The other domains have the
/// same size, but consist only of a summary in the platform and run no daemons.
class domain_traffic
{
public:
    /// Traffic per daemon. The bytes per second include sent and received
    /// messages, but not the content that the platform returns.
    struct figures
    {
        std::size_t const mean_bytes_per_s_{};
        std::size_t const peak_bytes_per_s_{};
        std::size_t const max_datagram_bytes_{};
        /// Number of members that one daemon knows at the end of the
        /// measurement.
        std::size_t const members_{};
    };

    domain_traffic(std::size_t size, std::size_t other_domains)
        : domain_size_(size), other_domains_(other_domains),
          mesh_(mesh_settings{.datagram_jitter_ = absl::Milliseconds(5)}),
          bytes_by_node_(size)
    {
    }

    figures measure()
    {
        mesh_.on_action([this](std::size_t index, action const& output)
                        { count_bytes(index, output); });
        write_summaries();
        for (std::size_t i = 0; i < domain_size_; ++i)
            mesh_.add_node("domain-a", {.service_ = service_of(i)});
        mesh_.run_for(absl::Seconds(45));
        is_counting_ = true;
        mesh_.run_for(absl::Seconds(5));
        mesh_.restart(domain_size_ / 2);
        mesh_.kill(domain_size_ / 3);
        mesh_.run_for(absl::Seconds(measurement_seconds - 5));
        std::size_t total_bytes = 0;
        for (std::size_t const bytes : bytes_by_node_)
            total_bytes += bytes;
        return {
            total_bytes / domain_size_ / measurement_seconds,
            *std::max_element(bytes_by_node_.begin(), bytes_by_node_.end()) /
                measurement_seconds,
            peak_datagram_bytes_,
            mesh_.daemon(3).members().records().size()};
    }

    static std::vector<member_record>
    members_of(std::string const& name, std::size_t size)
    {
        std::vector<member_record> result;
        for (unsigned i = 0; i < size; ++i)
            result.push_back(
                {.daemon_ = daemon_id("node-" + name + "-" + std::to_string(i)),
                 .domain_ = domain_name(name),
                 .endpoint_ = endpoint(
                     0x0b000001 + static_cast<unsigned>(name.back()) * 1024 + i,
                     7000),
                 .incarnation_ = incarnation(1),
                 .sequence_ = 3,
                 .service_ = service_of(i),
                 .slots_ = 100,
                 .epoch_ = ticket_epoch(1)});
        return result;
    }

private:
    static constexpr std::size_t measurement_seconds = 40;
    // Size of the IP and UDP headers of a datagram. The overhead of a message
    // over TCP is larger, because it includes acknowledgements.
    static constexpr std::size_t datagram_overhead_bytes = 28;
    static constexpr std::size_t stream_overhead_bytes = 80;
    // Size of the HTTP headers of a platform call and of its answer.
    static constexpr std::size_t call_overhead_bytes = 320;

    static service_name service_of(std::size_t index)
    {
        return service_name("service-" + std::to_string(index % 65));
    }

    void write_summaries()
    {
        std::set<domain_name> names;
        for (std::size_t i = 0; i < other_domains_; ++i)
        {
            std::string const name =
                std::string("domain-") + static_cast<char>('b' + i);
            names.insert(domain_name(name));
            mesh_.platform().put(
                object_name("summary/" + name),
                payload(format_summary(
                    domain_name(name), members_of(name, domain_size_))));
        }
        mesh_.platform().put(
            object_name("domains"), payload(format_domains(names)));
    }

    void count_bytes(std::size_t index, action const& output)
    {
        if (!is_counting_)
            return;
        if (auto const* const sent = std::get_if<send_datagram>(&output))
        {
            std::size_t const size = encoded_size(index, sent->message_);
            peak_datagram_bytes_ = std::max(peak_datagram_bytes_, size);
            add_bytes(index, sent->peer_, size + datagram_overhead_bytes);
        }
        if (auto const* const sent = std::get_if<send_to_peer>(&output))
            add_bytes(
                index,
                sent->peer_,
                encoded_size(index, sent->message_) + stream_overhead_bytes);
        if (auto const* const call = std::get_if<call_platform>(&output))
            bytes_by_node_[index] +=
                call->request_.value_.size() + call_overhead_bytes;
    }

    /// Returns the length of the encoded message. codec_ has an empty daemon
    /// id, so the length of the sender's id is added.
    std::size_t encoded_size(std::size_t index, peer_message const& message)
    {
        return codec_.encode(message).size() + mesh_.daemon(index)
                                                   .members()
                                                   .self_record()
                                                   .daemon_.value()
                                                   .size();
    }

    void add_bytes(std::size_t from, endpoint to, std::size_t size)
    {
        bytes_by_node_[from] += size;
        std::size_t const index = to.address() - mesh_.address(0).address();
        if (index < bytes_by_node_.size())
            bytes_by_node_[index] += size;
    }

    std::size_t const domain_size_;
    std::size_t const other_domains_;
    virtual_mesh<product_policies> mesh_;
    message_codec const codec_{
        peer_key("secret"), {daemon_id(""), incarnation(1), endpoint(1, 1)}};
    std::vector<std::size_t> bytes_by_node_;
    std::size_t peak_datagram_bytes_{};
    bool is_counting_{};
};

} // namespace samphire::fake
