#include "fuzz/decoder_cases.hpp"
#include "fuzz/input_mutator.hpp"
#include "settings/program_settings.hpp"
#include "settings/settings_parser.hpp"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <sys/resource.h>
#include <vector>

// Passes mutated inputs to each decoder of bytes that another party has
// written. A decoder that crashes ends the program; run it in sanitizer builds.

namespace
{

using namespace samphire;
using namespace samphire::bench;

// A decoder may take a few times the size of the largest input.
constexpr long max_peak_mb = 600;

constexpr std::array setting_definitions{
    setting_definition{
        .name_ = "seed",
        .kind_ = setting_kind::integer,
        .default_ = "1",
        .minimum_ = 0,
        .maximum_ = 1'000'000'000,
        .help_ = "seed of the inputs"},
    setting_definition{
        .name_ = "inputs",
        .kind_ = setting_kind::integer,
        .default_ = "20000",
        .minimum_ = 1,
        .maximum_ = 1'000'000'000,
        .help_ = "inputs for each decoder"},
    setting_definition{
        .name_ = "seconds",
        .kind_ = setting_kind::integer,
        .default_ = "0",
        .minimum_ = 0,
        .maximum_ = 86'400,
        .help_ = "time in which further seeds are started"},
    setting_definition{
        .name_ = "corpus",
        .kind_ = setting_kind::text,
        .default_ = "tests/corpus",
        .help_ = "folder that holds a folder of inputs for each decoder"},
    setting_definition{
        .name_ = "only",
        .kind_ = setting_kind::text,
        .help_ = "name of the only decoder to fuzz; empty for all"}};

char const* variable_of(char const* name)
{
    return std::getenv(name);
}

std::vector<std::string> read_corpus(std::filesystem::path const& folder)
{
    std::vector<std::string> corpus;
    if (!std::filesystem::exists(folder))
        return corpus;
    std::vector<std::filesystem::path> paths;
    for (auto const& entry : std::filesystem::directory_iterator(folder))
        paths.push_back(entry.path());
    // The order of a directory differs between file systems; a seed must repeat
    // a run.
    std::sort(paths.begin(), paths.end());
    for (std::filesystem::path const& path : paths)
    {
        std::ifstream file(path, std::ios::binary);
        corpus.emplace_back(
            std::istreambuf_iterator<char>(file),
            std::istreambuf_iterator<char>());
    }
    return corpus;
}

/// Returns whether the decoder kept its rules.
bool fuzz(
    decoder_case const& decoder,
    std::vector<std::string> corpus,
    std::uint64_t seed,
    std::uint64_t inputs)
{
    random_source random(seed);
    std::uint64_t accepted = 0;
    auto const begin = std::chrono::steady_clock::now();
    std::string input;
    try
    {
        std::uint64_t corpus_accepted = 0;
        for (std::string const& each : corpus)
        {
            input = each;
            corpus_accepted += decoder.accepts_(input) ? 1 : 0;
        }
        input_mutator mutator(std::move(corpus), random);
        for (std::uint64_t i = 0; i < inputs; ++i)
        {
            input = mutator.next();
            accepted += decoder.accepts_(input) ? 1 : 0;
        }
        accepted += corpus_accepted;
    }
    catch (std::exception const& failure)
    {
        std::ofstream("fuzz-failure.bin", std::ios::binary) << input;
        fmt::print(
            "decoder={} result=fail seed={} reason=\"{}\" "
            "input=fuzz-failure.bin\n",
            decoder.name_,
            seed,
            failure.what());
        return false;
    }
    std::chrono::duration<double> const seconds =
        std::chrono::steady_clock::now() - begin;
    fmt::print(
        "decoder={} result=pass seed={} inputs={} accepted={} seconds={:.1f}\n",
        decoder.name_,
        seed,
        inputs,
        accepted,
        seconds.count());
    std::fflush(stdout);
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    settings_parser const parser(
        "fuzz-decoders",
        "passes mutated inputs to all decoders",
        setting_definitions);
    int exit_code = 0;
    auto const settings =
        values_or_exit_code(parser.parse(argc, argv, &variable_of), exit_code);
    if (!settings)
        return exit_code;
    if (::sodium_init() < 0)
        return 1;
    std::vector<decoder_case> decoders = relay_decoder_cases();
    for (decoder_case& decoder : daemon_decoder_cases())
        decoders.push_back(std::move(decoder));
    auto const end = std::chrono::steady_clock::now() +
                     std::chrono::seconds(settings->integer("seconds"));
    std::filesystem::path const corpus_folder = settings->text("corpus");
    std::string const only = settings->text("only");
    auto const inputs = static_cast<std::uint64_t>(settings->integer("inputs"));
    auto seed = static_cast<std::uint64_t>(settings->integer("seed"));
    bool passed = true;
    do
    {
        for (decoder_case const& decoder : decoders)
        {
            if (!only.empty() && only != decoder.name_)
                continue;
            std::vector<std::string> corpus =
                read_corpus(corpus_folder / decoder.name_);
            corpus.insert(
                corpus.end(), decoder.seeds_.begin(), decoder.seeds_.end());
            passed &= fuzz(decoder, std::move(corpus), seed, inputs);
        }
        ++seed;
    } while (std::chrono::steady_clock::now() < end);
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    long const peak_mb = usage.ru_maxrss / 1024;
    passed &= peak_mb <= max_peak_mb;
    fmt::print(
        "fuzz result={} peak_mb={} max_peak_mb={}\n",
        passed ? "pass" : "fail",
        peak_mb,
        max_peak_mb);
    return passed ? 0 : 1;
}
