#pragma once

#include "base/random_source.hpp"

#include <string>
#include <vector>

namespace samphire::bench
{

/// Derives new inputs from a corpus: changes, removes and repeats bytes, joins
/// parts of two inputs, and inserts values that decoders have failed on.
class input_mutator
{
public:
    /// `corpus` must not be empty.
    input_mutator(std::vector<std::string> corpus, random_source& random)
        : corpus_(std::move(corpus)), random_(random)
    {
    }

    std::string next();

private:
    std::size_t below(std::size_t limit)
    {
        return limit == 0 ? 0 : random_() % limit;
    }

    void mutate(std::string& input);
    /// Replaces the number or word at a random position with another value.
    void replace_token(std::string& input);

    std::vector<std::string> corpus_;
    random_source& random_;
};

} // namespace samphire::bench
