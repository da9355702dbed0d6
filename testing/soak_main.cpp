/// Soaks the real entry program: `guavaline-soak --seed 1 --seeds 50`.

#include "soak/soak.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <filesystem>
#include <unistd.h>

int main(int argc, char** argv)
{
  using namespace guavaline;
  CLI::App app("Plays randomized faults on real guavaline-entry processes and "
               "checks what callers and targets see.");
  testing::SoakOptions options;
  std::uint64_t first = 1;
  std::uint64_t seeds = 1;
  double trouble = 12;
  std::string keep;
  auto& world = options.mWorld;
  world.mProgram = GUAVALINE_ENTRY_PATH;
  app.add_option("--seed", first, "First seed")->capture_default_str();
  app.add_option("--seeds", seeds, "How many seeds to play")
    ->capture_default_str();
  app.add_option("--trouble", trouble, "Seconds in which faults begin")
    ->capture_default_str()
    ->check(CLI::Range(1.0, 3600.0));
  app.add_option("--entries", world.mEntriesPerRegion, "Entries a region")
    ->capture_default_str()
    ->check(CLI::Range(1, 30));
  app.add_option("--targets", world.mTargetsPerRegion, "Targets a region")
    ->capture_default_str()
    ->check(CLI::Range(2, 50));
  app.add_option("--callers", options.mCallers, "Callers")
    ->capture_default_str();
  app.add_option("--rate", options.mPerSecond, "Requests a second")
    ->capture_default_str();
  app.add_option("--program", world.mProgram, "The entry program")
    ->capture_default_str();
  app.add_option("--keep", keep, "Folder for logs and histories");
  CLI11_PARSE(app, argc, argv);

  options.mTrouble = Millis(static_cast<std::int64_t>(trouble * 1'000));
  const auto root =
    keep.empty() ? std::filesystem::temp_directory_path().string() : keep;
  int failed = 0;
  for (auto seed = first; seed < first + seeds; ++seed) {
    world.mSeed = seed;
    world.mDirectory =
      root + "/soak-" + std::to_string(::getpid()) + "-" + std::to_string(seed);
    options.mHistoryPath = world.mDirectory + "/history.jsonl";
    const auto verdict = testing::PlaySoak(options);
    if (!verdict.mProblem.empty()) {
      std::printf("seed %lu: not played: %s\n", seed, verdict.mProblem.c_str());
      ++failed;
      continue;
    }
    for (const auto& it : verdict.mBroken) {
      std::printf("violation: seed %lu: %s\n", seed, it.c_str());
    }
    std::printf("seed %lu: %zu impairments, %zu sent, %zu served, %zu refused, "
                "%zu other, %zu violations\n",
                seed, verdict.mImpairments, verdict.mSent, verdict.mServed,
                verdict.mRefused, verdict.mOther, verdict.mBroken.size());
    std::fflush(stdout);
    if (!verdict.mBroken.empty()) {
      std::printf("kept: %s\n", world.mDirectory.c_str());
      ++failed;
    } else if (keep.empty()) {
      std::filesystem::remove_all(world.mDirectory);
    }
  }
  std::printf("%lu seeds played, %d failed\n", seeds, failed);
  return failed == 0 ? 0 : 1;
}
