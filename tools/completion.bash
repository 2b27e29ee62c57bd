# Bash completion: source tools/completion.bash
_crocusmount() {
    local word=${COMP_WORDS[COMP_CWORD]}
    local commands="apply get label select status explain drain settle quarantine entries send why"
    local options="--entry --token --output --base --dry-run --nonce --watch --wait --timeout --max-tokens --key --once --help --version"
    case "${COMP_WORDS[COMP_CWORD - 1]}" in
    --output) mapfile -t COMPREPLY < <(compgen -W "json table" -- "$word") ;;
    apply | why) mapfile -t COMPREPLY < <(compgen -f -- "$word") ;;
    get) mapfile -t COMPREPLY < <(compgen -W "workspaces pipelines backends" -- "$word") ;;
    *) mapfile -t COMPREPLY < <(compgen -W "$commands $options" -- "$word") ;;
    esac
}
complete -F _crocusmount crocusmount
