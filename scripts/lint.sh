#!/usr/bin/env bash
# Formatter, linter and structure checks; any finding fails.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run --Werror "${files[@]}"

# Decision slices do no I/O.
decisions='core codec configuration admission steering targets attempts lookup membership metrics crashes routing registry placement roster views accounts'
for slice in $decisions; do
  if grep -rnE '#include <(boost/(asio|beast)|nghttp2|spdlog|sys/|unistd)' \
       "src/$slice" "include/guavaline/$slice" 2>/dev/null; then
    echo "decision slice $slice does I/O"
    exit 1
  fi
done
# Names of the platform's wire stay in its folder.
wire='X-Server-Seal|Server-Limit|Server-Leaving|Store-Era|X-Target-Instance|X-Affinity-Key|X-Not-Executed|X-Deadline-Ms|X-Backend-Load|X-Instance-Id|cold_remaining|edge_addresses|resource_type|weighted_services|path_prefix|allowed_regions|target_latency|max_attempts|X-Tenant|api_keys|/objects/'
if git ls-files src include | grep -vE '^src/platform/' | xargs grep -nE "$wire"; then
  echo "a name of the platform's wire outside platform/"
  exit 1
fi
if git ls-files src apps include platform | xargs grep -nE 'io_uring|shm_open|\bfork\(|execv|posix_spawn|std::system\('; then
  echo "ruled out in the product"
  exit 1
fi

cmake --preset release >/dev/null
mapfile -t units < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'apps/*.cpp' 'testing/*.cpp' 'tests/*.cpp' 'bench/*.cpp')
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build/release --quiet 2>/dev/null
echo "lint clean"
