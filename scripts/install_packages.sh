#!/usr/bin/env bash
# Installs what the build, the tests and the measurements need (Debian 12).
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
  g++ cmake ninja-build pkg-config ccache clang-format clang-tidy \
  libboost1.81-dev libboost-json1.81-dev libnghttp2-dev libspdlog-dev \
  libcli11-dev libyaml-cpp-dev libcriterion-dev libssl-dev libxxhash-dev \
  libbenchmark-dev python3 clang libclang-rt-14-dev gnuplot-nox
