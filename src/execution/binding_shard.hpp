#pragma once

#include "base/payload.hpp"
#include "execution/key_binding.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>

namespace samphire
{

/// Holds the bindings of keys to tickets that one platform object
/// `bindings/<n>` stores.
class binding_shard
{
public:
    /// Parses the JSON text of a shard. An empty text gives an empty shard; any
    /// other text that does not have the expected structure gives nullopt.
    static std::optional<binding_shard> parse(payload const& text);

    /// Returns the JSON text of the shard, which parse() reads.
    payload json_text() const;

    /// Returns the binding of the key; null when the key has none.
    key_binding const* find(request_id const& key) const;

    /// Increments the write number that bind() stores with each binding.
    void start_write();

    /// Binds the key to the ticket and increments the generation of the key.
    void bind(request_id const& key, execution_ticket const& ticket);

    /// Drops the oldest bindings until the estimated size of the JSON text is
    /// at most `max_bytes`. Bindings of the last `retained_writes` writes are
    /// kept. Returns false when the text remains larger.
    bool shrink(std::size_t max_bytes, std::uint64_t retained_writes);

private:
    std::uint64_t write_count_{};
    absl::flat_hash_map<request_id, key_binding> bindings_;
};

} // namespace samphire
