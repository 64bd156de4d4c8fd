//! Ansible's host ranges: `s[01:16]`, `[a:c]`, `r[1:9:2]n[1:2]`; both ends belong to the range.

/// The names that a pattern stands for, in order; itself where it has no range. At most `most`.
///
/// # Errors
/// What is wrong with a range.
pub fn expand(pattern: &str, most: usize) -> Result<Vec<String>, String> {
    let mut names = vec![String::new()];
    let mut rest = pattern;
    while let Some(open) = rest.find('[') {
        let close = rest[open..].find(']').map(|i| open + i).ok_or("has a range without an end")?;
        let steps = range(&rest[open + 1..close], most)?;
        if names.len().saturating_mul(steps.len()) > most {
            return Err(format!("stands for more than {most} hosts"));
        }
        let before = &rest[..open];
        let with = |name: &String| steps.iter().map(|s| format!("{name}{before}{s}")).collect::<Vec<_>>();
        names = names.iter().flat_map(with).collect();
        rest = &rest[close + 1..];
    }
    if rest.contains(']') {
        return Err("has a range without a beginning".to_owned());
    }
    names.iter_mut().for_each(|name| name.push_str(rest));
    Ok(names)
}

fn range(text: &str, most: usize) -> Result<Vec<String>, String> {
    let wrong = || format!("[{text}] is no range: it is begin:end or begin:end:step");
    let mut ends = text.split(':');
    let (begin, end) = (ends.next().unwrap_or_default(), ends.next().ok_or_else(wrong)?);
    let step: u64 = ends.next().map_or(Ok(1), |s| s.parse().map_err(|_| wrong()))?;
    if ends.next().is_some() || step == 0 || end.is_empty() {
        return Err(wrong());
    }
    // Without a beginning it begins at 0.
    let begin = if begin.is_empty() { "0" } else { begin };
    let letter = |s: &str| match s.as_bytes() {
        [b] if b.is_ascii_alphabetic() => Some(*b),
        _ => None,
    };
    if let (Some(from), Some(to)) = (letter(begin), letter(end)) {
        if from.is_ascii_lowercase() != to.is_ascii_lowercase() || from > to {
            return Err(format!("[{text}] runs backwards or mixes cases"));
        }
        return Ok((from..=to).step_by(step as usize).map(|b| char::from(b).to_string()).collect());
    }
    let digits = |s: &str| s.bytes().all(|b| b.is_ascii_digit());
    if !digits(begin) || !digits(end) {
        return Err(wrong());
    }
    let (from, to): (u64, u64) = (begin.parse().map_err(|_| wrong())?, end.parse().map_err(|_| wrong())?);
    // A leading zero asks for numbers of that width, at both ends.
    let width = if begin.len() > 1 && begin.starts_with('0') { begin.len() } else { 0 };
    if width > 0 && end.len() != width {
        return Err(format!("[{text}] has ends of unlike widths"));
    }
    if from > to {
        return Err(format!("[{text}] runs backwards"));
    }
    if (to - from) / step >= most as u64 {
        return Err(format!("stands for more than {most} hosts"));
    }
    Ok((from..=to).step_by(step as usize).map(|n| format!("{n:0width$}")).collect())
}
